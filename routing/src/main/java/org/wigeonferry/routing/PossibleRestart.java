package org.wigeonferry.routing;

import java.time.Duration;

/**
 * Tells whether an upstream may have started again, and so be cold, without that its new
 * registration has been read.
 *
 * <p>A process that ends loses its connections, and one that starts again has the same id and
 * address. So each lost connection counts as the end of a process, until an answer to a send from
 * before the loss shows that the process still runs, or until a process that started at the latest
 * at the first answer after the loss is no longer cold. Owned by the control thread.
 */
final class PossibleRestart {
    /** Answers that arrive this soon after a loss may have been sent by a process that ended. */
    private static final Duration MAX_ANSWER_LAG = Duration.ofMillis(200);

    private boolean awaitsAnswer;
    private long firstLossNanos;
    private long lastLossNanos;
    private long coldUntilNanos;

    PossibleRestart(long nowNanos) {
        coldUntilNanos = nowNanos;
    }

    /** Records that a connection to the upstream was lost or could not be made. */
    void onLoss(long nowNanos) {
        if (!mayBeCold(nowNanos)) {
            firstLossNanos = nowNanos;
        }
        lastLossNanos = nowNanos;
        awaitsAnswer = true;
    }

    /**
     * Records that the answer to a send has begun.
     *
     * @param coldDuration how long an upstream of the service stays cold after its start
     */
    void onAnswer(long sendStartNanos, Duration coldDuration, long nowNanos) {
        if (!mayBeCold(nowNanos)) {
            return;
        }
        if (sendStartNanos - firstLossNanos < 0) {
            if (nowNanos - lastLossNanos > MAX_ANSWER_LAG.toNanos()) {
                awaitsAnswer = false;
                coldUntilNanos = nowNanos;
            }
            return;
        }
        if (awaitsAnswer && sendStartNanos - lastLossNanos >= 0) {
            awaitsAnswer = false;
            coldUntilNanos = nowNanos + coldDuration.toNanos();
        }
    }

    /** Whether the upstream may be cold because it started again. */
    boolean mayBeCold(long nowNanos) {
        return awaitsAnswer || coldUntilNanos - nowNanos > 0;
    }
}
