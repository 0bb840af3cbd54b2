package org.wigeonferry.core_types;

/**
 * Salted SHA-256 digest of an API key of a client account or operator.
 *
 * <p>Immutable and thread safe.
 *
 * @param salt the salt as hexadecimal text
 * @param digest SHA-256 of the salt text followed by the key, as hexadecimal text
 */
public record ApiKeyDigest(String salt, String digest) {}
