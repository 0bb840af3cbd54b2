package org.wigeonferry.decisions;

import org.wigeonferry.core_types.Upstream;

/**
 * Estimates the time in which an upstream would return the first token of an attempt sent now.
 *
 * <p>Implementations are called on the control thread.
 */
@FunctionalInterface
public interface FirstTokenEstimator {
    /** Expected time to the first token in microseconds. */
    double expectedFirstTokenMicros(Upstream upstream);
}
