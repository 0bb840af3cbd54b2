package org.wigeonferry.router;

import java.time.Duration;
import org.wigeonferry.routing.RoutingConfig;
import org.wigeonferry.routing.RoutingState;

/**
 * Revision and age of the configuration on which a decision was based.
 *
 * <p>Immutable and thread safe.
 *
 * @param revision its revision; -1 if there was no configuration, or it was not consulted
 * @param age time since it was last confirmed as the newest; one day if it never was (see {@link
 *     org.wigeonferry.routing.Freshness#age}), -1 ms if it was not consulted
 */
record ConfigurationVersion(long revision, Duration age) {
    private static final long NO_REVISION = -1;
    private static final Duration NO_AGE = Duration.ofMillis(-1);

    /** For decisions that do not depend on the configuration. */
    static final ConfigurationVersion NOT_CONSULTED = new ConfigurationVersion(NO_REVISION, NO_AGE);

    /** The version that the control thread uses at this time. */
    static ConfigurationVersion current(RoutingState state, long nowNanos) {
        long revision = state.config().map(RoutingConfig::revision).orElse(NO_REVISION);
        return new ConfigurationVersion(revision, state.freshness().age(nowNanos));
    }
}
