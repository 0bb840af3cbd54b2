package org.wigeonferry.core_types;

/**
 * One row of the platform's table service.
 *
 * <p>Immutable and thread safe.
 *
 * @param key the row key
 * @param value the content, as text
 * @param version assigned by the table service; a different number after each write of the row
 */
public record Row(String key, String value, long version) {}
