package org.wigeonferry.routing.hedging;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides when a second send of an idempotent request is worth its cost.
 *
 * <p>Handles the load in which a few upstreams among many are slow for a moment: a request that has
 * waited longer than 95 of 100 others is sent to a second upstream, as long as that one can still
 * meet the latency objective. When all upstreams are slow the usual wait grows, so that the second
 * send could not meet the objective and hedging stops. Immutable and thread safe.
 */
public final class HedgingRule {
    /**
     * Longest time for which sends to an upstream are hedged while it answers none. Noisy neighbors
     * slow a host for about 600 ms at a time; an upstream that is silent for longer has to be
     * suspended, which hedged sends that win would prevent.
     */
    private static final Duration MAX_TIME_HEDGED = Duration.ofSeconds(2);

    private final double hedgedSendShare;

    /**
     * Creates a rule.
     *
     * @param hedgedSendShare hedged sends allowed for each first send; 0 allows none
     */
    public HedgingRule(double hedgedSendShare) {
        this.hedgedSendShare = hedgedSendShare;
    }

    /** Whether hedged sends are allowed at all. */
    public boolean isEnabled() {
        return hedgedSendShare > 0;
    }

    /** Decides on a send now. */
    public HedgeDecision decide(PendingSend send, ServiceLoad load) {
        if (!isEnabled()) {
            return new NoHedge(NoHedgeCause.DISABLED);
        }
        Duration due = load.longWait().plus(send.ownWork());
        if (send.waited().compareTo(due) < 0) {
            return new HedgeLater(due.minus(send.waited()));
        }
        return causeAgainst(send, load).<HedgeDecision>map(NoHedge::new).orElseGet(HedgeNow::new);
    }

    private Optional<NoHedgeCause> causeAgainst(PendingSend send, ServiceLoad load) {
        if (!leavesEnoughRuns(send)) {
            return Optional.of(NoHedgeCause.NO_RUN_LEFT);
        }
        if (!meetsItsTimes(send, load)) {
            return Optional.of(NoHedgeCause.TOO_LATE);
        }
        if (load.rollOutRunning()) {
            return Optional.of(NoHedgeCause.ROLL_OUT);
        }
        if (load.requestsWait() || !load.hasSpareRetries()) {
            return Optional.of(NoHedgeCause.OVERLOADED);
        }
        if (load.hedgedSends() + 1 > hedgedSendShare * load.firstSends()) {
            return Optional.of(NoHedgeCause.SHARE_USED);
        }
        return send.timeHedged().compareTo(MAX_TIME_HEDGED) > 0
                ? Optional.of(NoHedgeCause.UPSTREAM_SILENT)
                : Optional.empty();
    }

    /** A hedged send takes a run from those that could resend the request after a failure. */
    private static boolean leavesEnoughRuns(PendingSend send) {
        int neededRuns = send.mayNeedAnotherRun() ? 2 : 1;
        return send.possibleRuns() + neededRuns <= send.maxRuns();
    }

    private static boolean meetsItsTimes(PendingSend send, ServiceLoad load) {
        Duration hedgeTime = load.typicalWait().plus(send.ownWork());
        return send.waited().plus(hedgeTime).compareTo(send.latencyObjective()) <= 0
                && hedgeTime.compareTo(send.timeLeft()) <= 0;
    }
}
