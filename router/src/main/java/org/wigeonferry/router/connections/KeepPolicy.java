package org.wigeonferry.router.connections;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether a connection is kept after a response, and for how long it may be used then.
 *
 * <p>Handles the load in which each upstream accepts few connections: a new one takes a round trip
 * and a place there. Stateless and thread safe.
 */
public final class KeepPolicy {
    /** The rest leaves time for a request to arrive, and for differences between the clocks. */
    private static final double USED_SHARE_OF_KEEP_ALIVE_TIME = 0.8;

    private static final Duration IDLE_TIME_IF_NOT_ANNOUNCED = Duration.ofSeconds(1);

    private KeepPolicy() {}

    /** How long an idle connection may be used after an exchange; empty if it has to be closed. */
    public static Optional<Duration> idleTime(ExchangeEnd end) {
        if (!end.complete() || !end.endMarked() || !end.persistent()) {
            return Optional.empty();
        }
        return Optional.of(
                        end.keepAliveTime()
                                .map(KeepPolicy::usedShare)
                                .orElse(IDLE_TIME_IF_NOT_ANNOUNCED))
                .filter(time -> !time.isZero());
    }

    private static Duration usedShare(Duration keepAliveTime) {
        return Duration.ofNanos((long) (keepAliveTime.toNanos() * USED_SHARE_OF_KEEP_ALIVE_TIME));
    }
}
