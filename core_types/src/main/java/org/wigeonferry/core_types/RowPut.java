package org.wigeonferry.core_types;

/**
 * A row that a transaction inserts or replaces.
 *
 * <p>Immutable and thread safe.
 *
 * @param key the row key
 * @param value the new content, as text
 */
public record RowPut(String key, String value) {}
