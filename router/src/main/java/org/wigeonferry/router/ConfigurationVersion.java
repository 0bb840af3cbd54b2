package org.wigeonferry.router;

import java.time.Duration;
import org.wigeonferry.routing.RoutingConfig;
import org.wigeonferry.routing.RoutingState;

/**
 * The configuration that a decision went by.
 *
 * <p>Immutable and thread safe.
 *
 * @param revision its revision; negative if there was none, or none was looked at
 * @param age time since it was last confirmed as the newest; a day if it never was
 */
record ConfigurationVersion(long revision, Duration age) {
    private static final long NO_REVISION = -1;
    private static final Duration NO_AGE = Duration.ofMillis(-1);

    /** Decided without a look at the configuration. */
    static final ConfigurationVersion NOT_CONSULTED = new ConfigurationVersion(NO_REVISION, NO_AGE);

    /** What the control thread goes by now. */
    static ConfigurationVersion current(RoutingState state, long nowNanos) {
        long revision = state.config().map(RoutingConfig::revision).orElse(NO_REVISION);
        return new ConfigurationVersion(revision, state.freshness().age(nowNanos));
    }
}
