package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.wigeonferry.routing.hedging.HedgeDecision;
import org.wigeonferry.routing.hedging.HedgeNow;
import org.wigeonferry.routing.hedging.HedgingRule;
import org.wigeonferry.routing.hedging.NoHedge;
import org.wigeonferry.routing.hedging.NoHedgeCause;
import org.wigeonferry.routing.hedging.PendingSend;
import org.wigeonferry.routing.hedging.ServiceLoad;

/**
 * Places hedged sends: gathers what {@link HedgingRule} decides on, and chooses the second upstream
 * by the rules of all sends and stricter ones of its own.
 *
 * <p>Invariant: takes a retry from the budget of the service for each send that it returns. Owned
 * by the control thread.
 */
final class HedgedPlacement {
    private final HedgingRule rule;
    private final UpstreamDirectory upstreams;
    private final UpstreamSelector selector;
    private final RollOutTracker rollOuts;
    private final Predicate<String> requestsWait;

    /**
     * Creates the placement.
     *
     * @param requestsWait whether requests of a service wait for an upstream with capacity
     */
    HedgedPlacement(
            HedgingRule rule,
            UpstreamDirectory upstreams,
            UpstreamSelector selector,
            RollOutTracker rollOuts,
            Predicate<String> requestsWait) {
        this.rule = rule;
        this.upstreams = upstreams;
        this.selector = selector;
        this.rollOuts = rollOuts;
        this.requestsWait = requestsWait;
    }

    /**
     * Decides on a hedged send beside the first send of a job, and chooses its upstream.
     *
     * @param placementRules rules that bind every send
     * @param isAllowed whether the job itself may still be sent; asked only if a hedged send is due
     */
    HedgePlan plan(
            Job job,
            Send first,
            ServiceState service,
            UpstreamRule placementRules,
            BooleanSupplier isAllowed,
            LiveRouters routers,
            long nowNanos) {
        HedgeDecision decision =
                job.route().kind().isRepeatable() && job.isFirstAndOnly(first)
                        ? decide(job, first, service, routers, nowNanos)
                        : new NoHedge(NoHedgeCause.DISABLED);
        if (!(decision instanceof HedgeNow)) {
            return new HedgePlan(decision, Optional.empty());
        }
        if (!isAllowed.getAsBoolean()) {
            return HedgePlan.refused(NoHedgeCause.NOT_ALLOWED);
        }
        Optional<SelectedUpstream> upstream =
                upstreamFor(job, first, placementRules, routers, nowNanos);
        if (upstream.isEmpty()) {
            return HedgePlan.refused(NoHedgeCause.NO_UPSTREAM);
        }
        if (!service.retryBudget().tryAcquireRetry(nowNanos, routers.assumedCount())) {
            return HedgePlan.refused(NoHedgeCause.OVERLOADED);
        }
        service.hedgedSends().add(nowNanos);
        upstreams
                .state(first.upstream().incarnation())
                .ifPresent(state -> state.onHedged(nowNanos));
        ModelSelection sameModel = new ModelSelection(first.model(), first.minConfidence());
        return new HedgePlan(
                decision,
                Optional.of(UpstreamSelector.newSend(upstream.get(), job, sameModel, nowNanos)));
    }

    private HedgeDecision decide(
            Job job, Send first, ServiceState service, LiveRouters routers, long nowNanos) {
        if (!rule.isEnabled()) {
            return new NoHedge(NoHedgeCause.DISABLED);
        }
        HedgeWaits waits = service.hedgeWaits(first.model());
        ServiceLoad load =
                new ServiceLoad(
                        waits.longWait(),
                        waits.typicalWait(),
                        requestsWait.test(job.service()),
                        service.retryBudget().hasSpareRetries(nowNanos, routers.assumedCount()),
                        rollOuts.isRollOutRunning(job.service()),
                        service.retryBudget().firstSends(nowNanos),
                        service.hedgedSends().count(nowNanos));
        return rule.decide(pendingSend(job, first, nowNanos), load);
    }

    private PendingSend pendingSend(Job job, Send first, long nowNanos) {
        Route route = job.route();
        return new PendingSend(
                Duration.ofNanos(nowNanos - first.startNanos()),
                Slowness.timeToProcess(first),
                route.latencyObjective(),
                Duration.ofNanos(job.deadlineNanos() - nowNanos),
                job.possibleRuns(),
                route.maxRuns(),
                route.kind().isStreamed() || first.minConfidence() > 0,
                upstreams
                        .state(first.upstream().incarnation())
                        .map(state -> state.timeHedged(nowNanos))
                        .orElse(Duration.ZERO));
    }

    private Optional<SelectedUpstream> upstreamFor(
            Job job, Send first, UpstreamRule placementRules, LiveRouters routers, long nowNanos) {
        UpstreamRule unrestricted =
                (upstream, anyJob, now) ->
                        !upstream.isCold(now)
                                && !upstream.isSuspended(now)
                                && !upstreams.notices().isRestricted(upstream, routers, now);
        UpstreamRule allowed = placementRules.and(unrestricted);
        return rollOuts.upstreamRules(job, routers.assumedCount(), nowNanos).stream()
                .map(r -> selector.select(job, first.model(), allowed.and(r), nowNanos))
                .flatMap(Optional::stream)
                .findFirst();
    }
}
