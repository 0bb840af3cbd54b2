package org.wigeonferry.core_types;

import java.util.Optional;

/**
 * Condition on one row that must hold for a transaction to take effect.
 *
 * <p>Immutable and thread safe.
 *
 * @param key the row key
 * @param version the version that the row must have; empty if the row must be absent
 */
public record RowCondition(String key, Optional<Long> version) {}
