package org.wigeonferry.core_types;

/**
 * Salted SHA-256 digest of a secret key.
 *
 * <p>Immutable and thread safe.
 *
 * @param salt the salt in hexadecimal
 * @param digest the digest of salt and key in hexadecimal
 */
public record ApiKeyDigest(String salt, String digest) {}
