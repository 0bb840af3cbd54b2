package org.wigeonferry.routing;

import java.time.Duration;

/**
 * How long sends to a model wait for their response headers, beyond the work for their own prompt,
 * as far as the time of a hedged send depends on it.
 *
 * <p>Unlike {@link ServiceState#waits}, on which it depends when an upstream counts as silent, the
 * estimates follow services that answer within milliseconds. Owned by the control thread.
 */
final class HedgeWaits {
    private static final Duration SHORTEST = Duration.ofMillis(10);

    private final WaitQuantile longWait;
    private final WaitQuantile typicalWait;

    /** Starts with an estimate of the long wait, which the first sends correct. */
    HedgeWaits(Duration initial) {
        longWait = new WaitQuantile(initial, SHORTEST, WaitQuantile.SHARE_OF_LONG_WAITS);
        typicalWait = new WaitQuantile(initial, SHORTEST, 0.5);
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
