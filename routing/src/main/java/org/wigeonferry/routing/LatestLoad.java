package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * The last load that an upstream reported, to this router or to another one of its zone.
 *
 * <p>Owned by the control thread.
 */
final class LatestLoad {
    /** How long a reported load is used. */
    private static final Duration TTL = Duration.ofSeconds(1);

    private Optional<ReportedLoad> load = Optional.empty();
    private long observedNanos;

    /** Records a load that this router received. */
    void recordOwn(ReportedLoad newLoad, long nowNanos) {
        load = Optional.of(newLoad);
        observedNanos = nowNanos;
    }

    /** Records a load that another router received, unless a later one is known. */
    void recordForwarded(ReportedLoad newLoad, long receivedNanos) {
        if (load.isEmpty() || receivedNanos - observedNanos > 0) {
            recordOwn(newLoad, receivedNanos);
        }
    }

    /** Requests other than this router's that run or wait; empty without a recent report. */
    OptionalInt requestsBeyond(int runningSends, long nowNanos) {
        if (load.isEmpty() || nowNanos - observedNanos > TTL.toNanos()) {
            return OptionalInt.empty();
        }
        int requests = load.get().running() + load.get().waiting();
        return OptionalInt.of(Math.max(0, requests - runningSends));
    }

    /** Requests that ran at the last report, however old; empty without one. */
    Optional<Integer> running() {
        return load.map(ReportedLoad::running);
    }
}
