package org.wigeonferry.routing;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.wigeonferry.routing.prediction.LowestTime;
import org.wigeonferry.routing.prediction.Prediction;
import org.wigeonferry.routing.prediction.UpstreamSpeed;
import org.wigeonferry.routing.prediction.Work;

/**
 * Chooses the upstream at which a job's first byte is expected soonest.
 *
 * <p>Handles the load on upstreams of different and changing speed. The candidates are compared in
 * loops over lists that are prepared for each service, since the decision is made for every request
 * on hosts with a fifth of a core. Owned by the control thread.
 */
final class PredictedTimeSelector {
    /** Time on the network for a request to another zone and back, with its connection. */
    private static final Duration OTHER_ZONE_ROUND_TRIP = Duration.ofMillis(4);

    /**
     * Surcharge on the time at an upstream all of whose answers are failures; multiplied by the
     * part of the failure share that is above {@link UpstreamSelector#IGNORED_FAILURE_SHARE}.
     */
    private static final double FAILURE_SURCHARGE_NANOS = 1.8e9;

    /** Part of the time for a shared prompt part by which hashing may prefer an upstream. */
    private static final double MAX_AFFINITY_SHARE = 0.5;

    private final UpstreamDirectory directory;
    private final PeerLoads peerLoads;
    private final CandidateIndex index;

    PredictedTimeSelector(String zone, UpstreamDirectory directory, PeerLoads peerLoads) {
        this.directory = directory;
        this.peerLoads = peerLoads;
        index = new CandidateIndex(zone, directory);
    }

    /** The upstream with the lowest predicted time that the rule allows. */
    Optional<SelectedUpstream> select(
            Job job, Optional<String> model, UpstreamRule rule, long nowNanos) {
        CandidateSample sample = new CandidateSample(index.of(job.service()), job, rule, nowNanos);
        List<UpstreamState> upstreams = sample.upstreams();
        if (upstreams.isEmpty()) {
            return Optional.empty();
        }
        JobTokens tokens = new JobTokens(job, model, upstreams.get(0));
        EnginePartition partition = directory.enginePartition();
        double unseenTokens = tokensUnseenInOtherZones(sample);
        LowestTime lowest = new LowestTime(upstreams.size());
        for (int i = 0; i < upstreams.size(); i++) {
            UpstreamState state = upstreams.get(i);
            UpstreamSpeed speed = state.speed();
            boolean otherZone = i >= sample.inOwnZone();
            double queued = queuedTokens(state) + (otherZone ? unseenTokens : 0);
            double nanos =
                    predictedNanos(state, queued + tokens.uncachedAt(state), otherZone, nowNanos);
            double surcharge =
                    FAILURE_SURCHARGE_NANOS
                            * Math.max(
                                    0,
                                    state.failureShare() - UpstreamSelector.IGNORED_FAILURE_SHARE);
            if (model.isPresent() && partition.wouldMixModelSizes(state, model.get())) {
                surcharge += UpstreamSelector.MIXED_MODELS_COST_TOKENS * speed.tokenNanos(nowNanos);
            }
            double preference =
                    MAX_AFFINITY_SHARE
                            * tokens.sharedPartAffinity(state)
                            * speed.tokenNanos(nowNanos);
            // The queues of other zones are not seen, so a time there counts as longer by its
            // error.
            double uncertaintyFactor = otherZone ? 1 + speed.relativeError() : 1;
            lowest.add(
                    Math.max(0, nanos * uncertaintyFactor + surcharge - preference),
                    speed.relativeError(),
                    Hashes.fraction(job.request().id(), state.key()));
        }
        OptionalInt best = lowest.best();
        if (best.isEmpty()) {
            return Optional.empty();
        }
        UpstreamState state = upstreams.get(best.getAsInt());
        boolean otherZone = best.getAsInt() >= sample.inOwnZone();
        double queued = queuedTokens(state) + (otherZone ? unseenTokens : 0);
        return Optional.of(
                new SelectedUpstream(
                        state,
                        predict(state, queued + tokens.uncachedAt(state), otherZone, nowNanos)));
    }

    /** The shortest predicted time over the upstreams that the rule allows. */
    Optional<Duration> shortestTime(
            Job job, Optional<String> model, UpstreamRule rule, long nowNanos) {
        if (!directory.serviceSpeed(job.service()).isKnown()) {
            return Optional.empty();
        }
        CandidateSample sample = new CandidateSample(index.of(job.service()), job, rule, nowNanos);
        List<UpstreamState> upstreams = sample.upstreams();
        if (upstreams.isEmpty()) {
            return Optional.empty();
        }
        JobTokens tokens = new JobTokens(job, model, upstreams.get(0));
        double unseenTokens = tokensUnseenInOtherZones(sample);
        double shortest = Double.POSITIVE_INFINITY;
        for (int i = 0; i < upstreams.size(); i++) {
            UpstreamState state = upstreams.get(i);
            boolean otherZone = i >= sample.inOwnZone();
            double queued = queuedTokens(state) + (otherZone ? unseenTokens : 0);
            double nanos =
                    predictedNanos(state, queued + tokens.uncachedAt(state), otherZone, nowNanos);
            shortest = Math.min(shortest, nanos);
        }
        return Optional.of(Duration.ofNanos((long) shortest));
    }

    /** The prediction for an upstream that was chosen otherwise. */
    Prediction predict(UpstreamState state, Job job, Optional<String> model, long nowNanos) {
        int added = UpstreamSelector.weightedUncachedTokens(state, job, model);
        boolean otherZone = !index.isInOwnZone(state);
        return predict(state, queuedTokens(state) + added, otherZone, nowNanos);
    }

    private Prediction predict(
            UpstreamState state, double tokens, boolean otherZone, long nowNanos) {
        Duration roundTrip = otherZone ? OTHER_ZONE_ROUND_TRIP : Duration.ZERO;
        return state.speed()
                .predict(new Work(tokens, rounds(state, nowNanos)), roundTrip, nowNanos);
    }

    private double predictedNanos(
            UpstreamState state, double tokens, boolean otherZone, long nowNanos) {
        UpstreamSpeed speed = state.speed();
        return speed.nanos(tokens, rounds(state, nowNanos), nowNanos)
                + (otherZone ? OTHER_ZONE_ROUND_TRIP.toNanos() : 0);
    }

    private double rounds(UpstreamState state, long nowNanos) {
        int others =
                Math.max(
                        peerLoads.runningSends(state.key()),
                        state.requestsOfOtherRouters(nowNanos));
        return Work.rounds(state.runningSends() + others, state.instance().slots());
    }

    /** Weighted tokens that an upstream still has to process for the routers of the zone. */
    private double queuedTokens(UpstreamState state) {
        long queued = state.queuedTokens() + peerLoads.queuedTokens(state.key());
        return state.speed().service().remainingTokens(queued);
    }

    /** Tokens assumed at each upstream of another zone, whose routers send no reports. */
    private double tokensUnseenInOtherZones(CandidateSample sample) {
        double sum = 0;
        for (int i = 0; i < sample.inOwnZone(); i++) {
            sum += queuedTokens(sample.upstreams().get(i));
        }
        return UpstreamSelector.ASSUMED_QUEUE_SHARE_IN_OTHER_ZONES
                * sum
                / Math.max(1, sample.inOwnZone());
    }
}
