package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Chooses the upstream with the lowest estimated cost for a job; for services whose upstreams
 * report a pace, and for all after {@link #predictAllTimes}, leaves the choice to {@link
 * PredictedTimeSelector}.
 *
 * <p>The cost, in prompt tokens, is the work that the job adds and the work that is queued before
 * it, with surcharges for other zones, mixed models and failures. Owned by the control thread.
 */
final class UpstreamSelector {
    /** Cost of each request that an upstream already has, in prompt tokens. */
    private static final double RUNNING_REQUEST_COST_TOKENS = 300;

    /** Cost of sending a request to another availability zone, in prompt tokens. */
    private static final double OTHER_ZONE_COST_TOKENS = 400;

    /**
     * Cost of a failed answer, in prompt tokens; multiplied by the part of the failure share that
     * is above {@link #IGNORED_FAILURE_SHARE}.
     */
    private static final double FAILURE_COST_TOKENS = 30_000;

    /** Cost of running small and large models on one engine, in prompt tokens per request. */
    static final double MIXED_MODELS_COST_TOKENS = 5_000;

    /** Failure shares up to this one add no cost. */
    static final double IGNORED_FAILURE_SHARE = 0.25;

    /**
     * Share of the mean queue in the own zone that is assumed at the upstreams of other zones,
     * whose routers send no reports.
     */
    static final double ASSUMED_QUEUE_SHARE_IN_OTHER_ZONES = 0.5;

    /**
     * Largest random part of the cost, as a share of the tokens that the job adds. Routers that see
     * the same loads would otherwise all choose the same upstream until the next reports.
     */
    private static final double MAX_RANDOM_COST_SHARE = 0.5;

    private final String zone;
    private final UpstreamDirectory directory;
    private final PeerLoads peerLoads;
    private final PredictedTimeSelector byPredictedTime;
    private boolean predictsAllTimes;

    UpstreamSelector(String zone, UpstreamDirectory directory, PeerLoads peerLoads) {
        this.zone = zone;
        this.directory = directory;
        this.peerLoads = peerLoads;
        byPredictedTime = new PredictedTimeSelector(zone, directory, peerLoads);
    }

    /** The best upstream that the rule allows; a suspended one only if all are suspended. */
    Optional<SelectedUpstream> select(
            Job job, Optional<String> model, UpstreamRule rule, long nowNanos) {
        if (predictsTimes(job.service(), nowNanos)) {
            return byPredictedTime.select(job, model, rule, nowNanos);
        }
        return cheapest(job, model, rule, nowNanos)
                .map(
                        state ->
                                new SelectedUpstream(
                                        state,
                                        byPredictedTime.predict(state, job, model, nowNanos)));
    }

    /** Chooses all upstreams by predicted time, also those that report no pace. */
    void predictAllTimes() {
        predictsAllTimes = true;
    }

    /** Whether upstreams of a service are chosen by predicted time. */
    boolean predictsTimes(String service, long nowNanos) {
        return predictsAllTimes || directory.serviceSpeed(service).reportsPace(nowNanos);
    }

    /** The shortest predicted time to the first byte over the upstreams that the rule allows. */
    Optional<Duration> shortestTime(
            Job job, Optional<String> model, UpstreamRule rule, long nowNanos) {
        return byPredictedTime.shortestTime(job, model, rule, nowNanos);
    }

    private Optional<UpstreamState> cheapest(
            Job job, Optional<String> model, UpstreamRule rule, long nowNanos) {
        List<UpstreamState> candidates =
                directory.upstreamStates().stream()
                        .filter(state -> rule.allows(state, job, nowNanos))
                        .toList();
        List<UpstreamState> notSuspended =
                candidates.stream().filter(state -> !state.isSuspended(nowNanos)).toList();
        List<UpstreamState> usable = notSuspended.isEmpty() ? candidates : notSuspended;
        double otherZoneCostTokens =
                OTHER_ZONE_COST_TOKENS
                        + ASSUMED_QUEUE_SHARE_IN_OTHER_ZONES * meanQueueInOwnZone(usable);
        return usable.stream()
                .min(
                        Comparator.comparingDouble(
                                state ->
                                        costTokens(state, job, model, nowNanos)
                                                + (isInOwnZone(state) ? 0 : otherZoneCostTokens)));
    }

    private boolean isInOwnZone(UpstreamState state) {
        return state.instance().zone().equals(zone);
    }

    private double meanQueueInOwnZone(List<UpstreamState> states) {
        return states.stream()
                .filter(this::isInOwnZone)
                .mapToDouble(this::queuedTokens)
                .average()
                .orElse(0);
    }

    /** Tokens that the routers of the zone have queued at an upstream. */
    private double queuedTokens(UpstreamState state) {
        return state.queuedTokens() + peerLoads.queuedTokens(state.key());
    }

    /** Requests of other routers, as they or the upstream have reported. */
    private int requestsOfOtherRouters(UpstreamState state, long nowNanos) {
        return Math.max(
                peerLoads.runningSends(state.key()), state.requestsOfOtherRouters(nowNanos));
    }

    /** Prompt tokens of a job that an upstream probably does not have in its prefix cache. */
    static int uncachedTokens(UpstreamState state, Job job, Optional<String> model) {
        RoutedRequest request = job.request();
        int cached = model.map(name -> state.cachedTokens(name, request)).orElse(0);
        return Math.max(0, request.promptTokens() - cached);
    }

    /** The uncached tokens, times the model's cost relative to the most expensive model. */
    static int weightedUncachedTokens(UpstreamState state, Job job, Optional<String> model) {
        double weight = model.map(state::relativeCost).orElse(1.0);
        return (int) Math.round(uncachedTokens(state, job, model) * weight);
    }

    private double costTokens(UpstreamState state, Job job, Optional<String> model, long nowNanos) {
        int addedTokens = weightedUncachedTokens(state, job, model);
        double tokens = addedTokens - affinityDiscountTokens(state, job, model);
        tokens +=
                MAX_RANDOM_COST_SHARE
                        * Math.max(addedTokens, RUNNING_REQUEST_COST_TOKENS)
                        * Hashes.fraction(job.request().id(), state.key());
        tokens += queuedTokens(state);
        tokens +=
                RUNNING_REQUEST_COST_TOKENS
                        * (state.runningSends() + requestsOfOtherRouters(state, nowNanos));
        if (model.filter(name -> directory.enginePartition().wouldMixModelSizes(state, name))
                .isPresent()) {
            tokens += MIXED_MODELS_COST_TOKENS;
        }
        tokens += FAILURE_COST_TOKENS * Math.max(0, state.failureShare() - IGNORED_FAILURE_SHARE);
        return tokens;
    }

    /**
     * Discount from the cost of an upstream: up to half of the work for the last shared prompt
     * part.
     *
     * <p>It comes from rendezvous hashing of the part and the upstream, so that all routers send a
     * prompt that no upstream has cached to the same one. The last part of a prompt is taken to be
     * the request's own.
     */
    private double affinityDiscountTokens(UpstreamState state, Job job, Optional<String> model) {
        Optional<PromptPart> sharedPart = job.request().sharedPart();
        if (sharedPart.isEmpty() || model.isEmpty()) {
            return 0;
        }
        PromptPart shared = sharedPart.get();
        double sample = Hashes.fraction(shared.id() + '@' + state.instance().id());
        return sample * shared.tokens() * model.map(state::relativeCost).orElse(1.0) / 2;
    }

    static Send newSend(
            SelectedUpstream selected, Job job, ModelSelection selection, long nowNanos) {
        UpstreamState state = selected.state();
        return new Send(
                state.instance(),
                job.account().map(Account::name),
                selection.model(),
                selection.minConfidence(),
                OptionalInt.of(rank(job)),
                Duration.ofNanos(job.deadlineNanos() - nowNanos),
                weightedUncachedTokens(state, job, selection.model()),
                job.request().maxTokens(),
                nowNanos,
                Optional.of(selected.prediction()));
    }

    /** Urgency of a job: the account's rank, or else the route's; 0 is the most urgent. */
    static int rank(Job job) {
        OptionalInt accountRank = job.account().map(Account::rank).orElse(OptionalInt.empty());
        return Math.max(0, accountRank.orElse(job.route().rank()));
    }
}
