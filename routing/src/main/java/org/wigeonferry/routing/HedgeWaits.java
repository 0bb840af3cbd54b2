package org.wigeonferry.routing;

import java.time.Duration;

/**
 * How long sends to a model wait for their response headers, beyond the work for their own prompt;
 * decides when a hedged send is due.
 *
 * <p>Unlike those of {@link ServiceState#waits}, which decide when an upstream counts as silent,
 * the estimates follow services that answer within milliseconds. Owned by the control thread.
 */
final class HedgeWaits {
    /** Lower bound of both estimates. */
    private static final Duration MIN_WAIT = Duration.ofMillis(10);

    private final WaitQuantile longWait;
    private final WaitQuantile typicalWait;

    /** Starts with an estimate of the long wait, which the first sends correct. */
    HedgeWaits(Duration initial) {
        longWait = new WaitQuantile(initial, MIN_WAIT, WaitQuantile.SHARE_OF_LONG_WAITS);
        typicalWait = new WaitQuantile(initial, MIN_WAIT, 0.5);
    }

    /** Records the wait of a send that was answered. */
    void record(Duration wait) {
        longWait.record(wait);
        typicalWait.record(wait);
    }

    /** Records a send that was given up or cancelled after a wait. */
    void recordGivenUp(Duration wait) {
        longWait.recordGivenUp(wait);
        typicalWait.recordGivenUp(wait);
    }

    /** The wait that 95 of 100 sends do not exceed. */
    Duration longWait() {
        return longWait.value();
    }

    /** The wait that half of the sends do not exceed. */
    Duration typicalWait() {
        return typicalWait.value();
    }
}
