package org.wigeonferry.decisions;

import org.wigeonferry.core_types.Upstream;

/**
 * Tells the expected time to the first token of an upstream.
 *
 * <p>Implementations are called on the control thread.
 */
@FunctionalInterface
public interface FirstTokenEstimator {
    /** Expected time to the first token in microseconds. */
    double expectedFirstTokenMicros(Upstream upstream);
}
