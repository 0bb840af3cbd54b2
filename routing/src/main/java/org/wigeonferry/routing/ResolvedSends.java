package org.wigeonferry.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * The last sends to an upstream that are resolved: response headers arrived, or the send has ended.
 *
 * <p>Shows whether a send that is still open was passed by later ones. A send that was cancelled
 * because another upstream was faster is not resolved, as it shows nothing about this upstream.
 * Owned by the control thread.
 */
final class ResolvedSends {
    /** A send counts as overtaken by each resolved send that started more than this later. */
    private static final Duration MIN_OVERTAKING_LAG = Duration.ofMillis(300);

    /** A send that was overtaken this many times is probably lost. */
    private static final int MIN_OVERTAKING_SENDS = 4;

    /** Number of resolved sends whose start times are kept. */
    private static final int MAX_START_TIMES = 16;

    private final Deque<Long> startNanos = new ArrayDeque<>();
    private Optional<Long> hedgedSinceNanos = Optional.empty();

    /** Records a send whose headers arrived. */
    void onHeaders(Send send) {
        hedgedSinceNanos = Optional.empty();
        add(send);
    }

    /** Records a send that ended without headers. */
    void onEndWithoutHeaders(SendReport report) {
        if (report.outcome() == SendOutcome.SUPERSEDED) {
            return;
        }
        if (report.outcome() != SendOutcome.ABANDONED) {
            hedgedSinceNanos = Optional.empty();
        }
        add(report.send());
    }

    /** Records that a send which waits for its headers is hedged. */
    void onHedged(long nowNanos) {
        hedgedSinceNanos = hedgedSinceNanos.or(() -> Optional.of(nowNanos));
    }

    /** Time since the first hedged send after the last answer or failure; zero without one. */
    Duration timeHedged(long nowNanos) {
        return hedgedSinceNanos
                .map(since -> Duration.ofNanos(nowNanos - since))
                .orElse(Duration.ZERO);
    }

    /** Whether no send that started later has been answered or has ended. */
    boolean isNoneLaterThan(Send send) {
        return startNanos.stream().noneMatch(t -> t - send.startNanos() > 0);
    }

    /** Whether so many later sends are resolved that this one is probably not in a queue. */
    boolean isOvertaken(Send send) {
        long overtakingSends =
                startNanos.stream()
                        .filter(t -> t - send.startNanos() > MIN_OVERTAKING_LAG.toNanos())
                        .count();
        return overtakingSends >= MIN_OVERTAKING_SENDS;
    }

    private void add(Send send) {
        startNanos.addLast(send.startNanos());
        if (startNanos.size() > MAX_START_TIMES) {
            startNanos.removeFirst();
        }
    }
}
