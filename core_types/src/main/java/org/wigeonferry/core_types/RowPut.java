package org.wigeonferry.core_types;

/**
 * A row that a transaction writes.
 *
 * <p>Immutable and thread safe.
 *
 * @param key its key
 * @param value its value
 */
public record RowPut(String key, String value) {}
