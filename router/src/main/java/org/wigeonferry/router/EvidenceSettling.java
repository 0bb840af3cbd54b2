package org.wigeonferry.router;

import java.time.Duration;
import java.util.Optional;

/**
 * Tells whether what is known of the other routers' evidence is recent. After an outage of the
 * store, or after this process stood still, their reports are still under way.
 *
 * <p>Owned by the control thread.
 */
final class EvidenceSettling {
    /** Time in which the other routers publish their reports and this one reads them. */
    private static final Duration SETTLING_TIME = Duration.ofSeconds(3);

    /** Time between two checks from which this process counts as having stood still. */
    private static final Duration MAX_CHECK_GAP = Duration.ofMillis(1500);

    private Optional<Long> unsettledSinceNanos = Optional.empty();
    private Optional<Long> lastCheckNanos = Optional.empty();

    /** Records that the store answers again after an outage. */
    void onStoreRecovered(long nowNanos) {
        unsettledSinceNanos = Optional.of(nowNanos);
    }

    /** Records a periodic check. */
    void onCheck(long nowNanos) {
        boolean stoodStill =
                lastCheckNanos
                        .filter(last -> nowNanos - last > MAX_CHECK_GAP.toNanos())
                        .isPresent();
        lastCheckNanos = Optional.of(nowNanos);
        if (stoodStill) {
            unsettledSinceNanos = Optional.of(nowNanos);
        }
    }

    /** Whether the other routers' reports had time to arrive. */
    boolean isSettled(long nowNanos) {
        return unsettledSinceNanos
                .filter(since -> nowNanos - since < SETTLING_TIME.toNanos())
                .isEmpty();
    }
}
