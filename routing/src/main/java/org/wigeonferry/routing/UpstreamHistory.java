package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Optional;

/**
 * What is known of an upstream beyond its present incarnation: the sends of the last second, which
 * incarnation replaced which, which one is gone, and whether one may have started unnoticed.
 *
 * <p>Owned by the control thread.
 */
final class UpstreamHistory {
    /**
     * How long after its replacement an incarnation may still be registered by a write that was
     * delayed on its way to the store.
     */
    private static final Duration MAX_WRITE_DELAY = Duration.ofSeconds(10);

    /** Older than any copy that the store comes back from. */
    private static final Duration RETENTION = Duration.ofMinutes(1);

    private final SlidingWindowCounter recentSends =
            new SlidingWindowCounter(UpstreamState.COLD_RATE_WINDOW);
    private PossibleRestart possibleRestart;
    private Optional<Incarnation> current = Optional.empty();
    private Optional<Incarnation> replaced = Optional.empty();
    private long replacedNanos;
    private boolean removed;
    private long lastChangeNanos;

    UpstreamHistory(long nowNanos) {
        possibleRestart = new PossibleRestart(nowNanos);
        lastChangeNanos = nowNanos;
    }

    /** Whether an incarnation was the last one when the upstream was removed. */
    boolean isGone(Incarnation incarnation) {
        return removed && current.equals(Optional.of(incarnation));
    }

    /** Records that the upstream was removed. */
    void remove(long nowNanos) {
        removed = true;
        lastChangeNanos = nowNanos;
    }

    /** Tells whether an incarnation that is not registered may have replaced the current one. */
    PossibleRestart possibleRestart() {
        return possibleRestart;
    }

    /** Counts the sends of the last second to all incarnations. */
    SlidingWindowCounter recentSends() {
        return recentSends;
    }

    /**
     * Records that a registration was read; false, with no change, if it is a late one of an
     * incarnation that another one has replaced.
     */
    boolean register(Incarnation incarnation, long nowNanos) {
        boolean isLate =
                replaced.equals(Optional.of(incarnation))
                        && nowNanos - replacedNanos < MAX_WRITE_DELAY.toNanos();
        if (isLate) {
            return false;
        }
        if (current.isPresent() && !current.get().equals(incarnation)) {
            replaced = current;
            replacedNanos = nowNanos;
        }
        if (!current.equals(Optional.of(incarnation))) {
            possibleRestart = new PossibleRestart(nowNanos);
        } else if (removed) {
            possibleRestart.onDoubtfulRegistration(nowNanos);
        }
        current = Optional.of(incarnation);
        removed = false;
        lastChangeNanos = nowNanos;
        return true;
    }

    /** Whether nothing of an upstream that is gone is needed any more. */
    boolean isObsolete(long nowNanos) {
        return recentSends.count(nowNanos) == 0
                && nowNanos - lastChangeNanos >= RETENTION.toNanos();
    }
}
