package org.wigeonferry.routing;

import java.time.Duration;

/**
 * Tells whether an upstream may have started again, and so be cold, before its new registration is
 * read.
 *
 * <p>A process that ends loses its connections, and one that starts again has the same id and
 * address. So each lost connection counts as the end of a process, until an answer to a send from
 * before the loss shows that the process still runs, until a process that started at the latest at
 * the first answer after the loss is no longer cold, or until a restart would have been read from
 * the store. Owned by the control thread.
 */
final class PossibleRestart {
    /** Answers that arrive this soon after a loss may have been sent by a process that ended. */
    private static final Duration MAX_ANSWER_LAG = Duration.ofMillis(200);

    /**
     * By this time after its last loss, an upstream has registered its restart, or its registration
     * has expired as it is down. Without it, a router that has no share in the rate of a cold
     * upstream, and so gets no answer from it, would never send to it again.
     */
    private static final Duration MAX_REGISTRATION_DELAY = Duration.ofSeconds(6);

    /** An upstream that runs has its registration in the store, and read, within this time. */
    private static final Duration MAX_REGISTRATION_LAG = Duration.ofMillis(1500);

    /** Connections that a process loses as it ends are lost within this time. */
    private static final Duration MAX_LOSS_SPREAD = Duration.ofMillis(200);

    private boolean awaitsAnswer;
    private int lossesAtOnce;
    private boolean endIsNews;
    private long firstLossNanos;
    private long lastLossNanos;
    private long coldUntilNanos;

    PossibleRestart(long nowNanos) {
        coldUntilNanos = nowNanos;
    }

    /**
     * Records that a registration was read that may be older than a restart, as it was gone before.
     */
    void onDoubtfulRegistration(long nowNanos) {
        if (!mayBeCold(nowNanos)) {
            firstLossNanos = nowNanos;
        }
        long endNanos = nowNanos + MAX_REGISTRATION_LAG.toNanos();
        coldUntilNanos = coldUntilNanos - endNanos > 0 ? coldUntilNanos : endNanos;
    }

    /**
     * Records that a connection was lost, or could not be made.
     *
     * @param refused whether the connection could not be made
     */
    void onOwnLoss(boolean refused, long nowNanos) {
        boolean atOnce = lossesAtOnce > 0 && nowNanos - lastLossNanos <= MAX_LOSS_SPREAD.toNanos();
        lossesAtOnce = atOnce ? lossesAtOnce + 1 : 1;
        endIsNews |= refused || lossesAtOnce > 1;
        onLoss(nowNanos);
    }

    /** Whether the process has probably ended, as no single connection was lost; asked once. */
    boolean takeProbableEnd() {
        boolean isNews = endIsNews;
        endIsNews = false;
        return isNews;
    }

    /** Records that this router or another one has lost a connection to the upstream. */
    void onLoss(long nowNanos) {
        if (!mayBeCold(nowNanos)) {
            firstLossNanos = nowNanos;
        }
        lastLossNanos = nowNanos;
        awaitsAnswer = true;
    }

    /**
     * Records that the answer to a send has begun, or that more of it has come.
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
        boolean mayHaveRestarted =
                awaitsAnswer && nowNanos - lastLossNanos < MAX_REGISTRATION_DELAY.toNanos();
        return mayHaveRestarted || coldUntilNanos - nowNanos > 0;
    }
}
