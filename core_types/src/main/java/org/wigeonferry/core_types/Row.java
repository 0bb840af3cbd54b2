package org.wigeonferry.core_types;

/**
 * One row of the platform's table service.
 *
 * <p>Immutable and thread safe.
 *
 * @param key its key
 * @param value its value
 * @param version changes on every write
 */
public record Row(String key, String value, long version) {}
