package org.wigeonferry.routing;

import java.time.Duration;

/**
 * When a roll-out whose evidence is good moves the traffic, and how fast.
 *
 * <p>Handles the load right after a completion, at which the old upstreams stop: had they served
 * until then, all requests and all streams that ran there would come at once to upstreams that have
 * no prompt cached. So the sessions move one after the other, and the old upstreams have time to
 * end their streams. A release that turns bad under the load is rolled back before all have moved.
 * Stateless and thread safe.
 */
final class TrafficMoveSchedule {
    /** Fraction of a roll-out's duration from which the move may start. */
    private static final double MIN_ELAPSED_TO_START = 0.6;

    /** Fraction of the duration from which the move may start with fewer answers. */
    private static final double MIN_ELAPSED_TO_START_LATE = 0.8;

    /** Fraction of the duration in which all sessions move. */
    private static final double MOVE_FRACTION = 0.2;

    /** Fraction of the duration from the start of the move to the completion. */
    private static final double MOVE_AND_DRAIN_FRACTION = 0.3;

    /** Fraction of the duration at which a good release is completed, moved or not. */
    private static final double LATEST_COMPLETION = 0.92;

    /**
     * Fraction of the duration at which a release that was not completed is rolled back, so that
     * the state is stored before the duration is over.
     */
    private static final double LATEST_ROLL_BACK = 0.95;

    /** Fraction of the duration from which evidence is exchanged as fast as it comes. */
    private static final double DECISION_NEAR = 0.8;

    /** Successful answers needed to start the move. */
    private static final int MIN_GOOD_ANSWERS = 12;

    /** Successful answers needed to start it late, or to complete without a move. */
    private static final int MIN_GOOD_ANSWERS_LATE = 8;

    private TrafficMoveSchedule() {}

    /** Whether the move may start. */
    static boolean mayStart(RollOut order, RollOutEvidence evidence, long nowNanos) {
        double elapsed = fraction(order, order.startNanos(), nowNanos);
        return (elapsed >= MIN_ELAPSED_TO_START
                        && RollOutCriteria.mayComplete(evidence, MIN_GOOD_ANSWERS))
                || (elapsed >= MIN_ELAPSED_TO_START_LATE
                        && RollOutCriteria.mayComplete(evidence, MIN_GOOD_ANSWERS_LATE));
    }

    /**
     * Share of the sessions that have moved, from 0 to 1; the same ones at all routers. It grows
     * slowly at first, while it is not known how the release bears load.
     */
    static double movedShare(RollOut order, TrafficMove move, long nowNanos) {
        double progress = Math.min(1, fraction(order, move.startNanos(), nowNanos) / MOVE_FRACTION);
        return progress * progress;
    }

    /** Whether the traffic has moved and the old upstreams had time to end their streams. */
    static boolean isDone(RollOut order, TrafficMove move, long nowNanos) {
        return fraction(order, move.startNanos(), nowNanos) >= MOVE_AND_DRAIN_FRACTION
                || isLastChance(order, nowNanos);
    }

    /** Whether a roll-out has to be completed now to be in time, moved or not. */
    static boolean isLastChance(RollOut order, long nowNanos) {
        return fraction(order, order.startNanos(), nowNanos) >= LATEST_COMPLETION;
    }

    /** Whether a roll-out is decided soon, so that all evidence should reach all routers. */
    static boolean isDecisionNear(RollOut order, long nowNanos) {
        return fraction(order, order.startNanos(), nowNanos) >= DECISION_NEAR;
    }

    /** Whether a roll-out that has not been completed has to be rolled back. */
    static boolean isTimeUp(RollOut order, long nowNanos) {
        return fraction(order, order.startNanos(), nowNanos) >= LATEST_ROLL_BACK;
    }

    /** Whether the evidence of a roll-out suffices to complete it. */
    static boolean isGood(RollOutEvidence evidence) {
        return RollOutCriteria.mayComplete(evidence, MIN_GOOD_ANSWERS_LATE);
    }

    private static double fraction(RollOut order, long fromNanos, long nowNanos) {
        Duration duration = order.duration();
        return (double) (nowNanos - fromNanos) / duration.toNanos();
    }
}
