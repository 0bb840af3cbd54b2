package org.wigeonferry.core_types;

import java.util.Optional;

/**
 * What must hold of a row for a transaction to take effect.
 *
 * <p>Immutable and thread safe.
 *
 * @param key the key of the row
 * @param version its version; empty if the row must be absent
 */
public record RowCondition(String key, Optional<Long> version) {}
