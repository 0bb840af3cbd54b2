package org.wigeonferry.routing;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.wigeonferry.routing.prediction.ServiceSpeed;
import org.wigeonferry.routing.prediction.UpstreamSpeed;

/**
 * What this router knows about an upstream: its registration, and running and recent sends to it.
 *
 * <p>Owned by the control thread.
 */
final class UpstreamState {
    /** Token capacity of upstreams whose service has no engine traits. */
    private static final int DEFAULT_CAPACITY_TOKENS = 200_000;

    /** Weight of the newest outcome in the moving average of failures. */
    private static final double NEW_OUTCOME_WEIGHT = 0.15;

    /** Window of the count of sends that the limit for cold upstreams applies to. */
    static final Duration COLD_RATE_WINDOW = Duration.ofSeconds(1);

    private final int key;
    private UpstreamInstance instance;
    private long coldUntilNanos;
    private final PossibleRestart possibleRestart;
    private Duration coldDuration = Duration.ZERO;
    private Optional<EngineTraits> engineTraits = Optional.empty();
    private final PrefixCacheEstimate prefixCache =
            new PrefixCacheEstimate(DEFAULT_CAPACITY_TOKENS / 2);
    private final SlidingWindowCounter recentSends;
    private final SlidingWindowCounter sendsForRateLimit =
            new SlidingWindowCounter(RequestRateLimit.WINDOW);
    private long lastSendNanos;
    private int runningSends;
    private long queuedTokens;
    private long heldTokens;
    private double failureShare;
    private final ResolvedSends resolvedSends = new ResolvedSends();
    private final Suspension suspension;
    private final LatestLoad latestLoad = new LatestLoad();
    private final UpstreamSpeed speed;

    /**
     * Creates the state of an incarnation that nothing was sent to.
     *
     * @param history counts the sends to all incarnations of the upstream, as a router may have
     *     sent to this one before it knew of it
     * @param serviceSpeed speed that is assumed until the upstream's own is known
     */
    UpstreamState(
            UpstreamInstance instance,
            UpstreamHistory history,
            ServiceSpeed serviceSpeed,
            long nowNanos) {
        key = Hashes.key(instance.id());
        this.instance = instance;
        speed = new UpstreamSpeed(serviceSpeed);
        recentSends = history.recentSends();
        possibleRestart = history.possibleRestart();
        suspension = new Suspension(nowNanos);
        lastSendNanos = nowNanos;
        coldUntilNanos = nowNanos + instance.coldTimeLeft().toNanos();
    }

    /** Stands for the upstream in messages between routers. */
    int key() {
        return key;
    }

    UpstreamInstance instance() {
        return instance;
    }

    /** Sets the traits of the service; half of an engine's token capacity is its prefix cache. */
    void setServiceTraits(Optional<ServiceTraits> traits) {
        coldDuration = traits.map(ServiceTraits::coldDuration).orElse(Duration.ZERO);
        engineTraits = traits.flatMap(ServiceTraits::engine);
        int tokens = engineTraits.map(EngineTraits::capacityTokens).orElse(DEFAULT_CAPACITY_TOKENS);
        prefixCache.setCapacityTokens(tokens / 2);
    }

    Optional<EngineTraits> engineTraits() {
        return engineTraits;
    }

    boolean runsLargeAndSmallModels() {
        return engineTraits.filter(EngineTraits::hasSmallAndLargeModels).isPresent();
    }

    void updateInstance(UpstreamInstance newInstance, long nowNanos) {
        instance = newInstance;
        if (!newInstance.coldTimeLeft().isZero()) {
            coldUntilNanos = nowNanos + newInstance.coldTimeLeft().toNanos();
        }
    }

    /** Whether the upstream is cold by its registration, or because it may have restarted. */
    boolean isCold(long nowNanos) {
        return coldUntilNanos - nowNanos > 0 || possibleRestart.mayBeCold(nowNanos);
    }

    /** Records that another router has lost its connections to the upstream. */
    void onPeerLoss(long nowNanos) {
        possibleRestart.onLoss(nowNanos);
    }

    /** Whether this router's losses say that the process has probably ended; asked once. */
    boolean takeProbableEnd() {
        return possibleRestart.takeProbableEnd();
    }

    int sendsInLastSecond(long nowNanos) {
        return recentSends.count(nowNanos);
    }

    /** Sends at or after a time within {@link RequestRateLimit#WINDOW}. */
    int sendsSince(long sinceNanos, long nowNanos) {
        return sendsForRateLimit.countSince(sinceNanos, nowNanos);
    }

    /** When the first of those sends was made; empty if there is none. */
    OptionalLong firstSendSince(long sinceNanos, long nowNanos) {
        return sendsForRateLimit.firstSince(sinceNanos, nowNanos);
    }

    /** Time since the last send, or since the upstream is known. */
    Duration timeWithoutSends(long nowNanos) {
        return Duration.ofNanos(nowNanos - lastSendNanos);
    }

    /** Cost of a token with a model, as a fraction of the cost with the most expensive model. */
    double relativeCost(String model) {
        return engineTraits.map(traits -> traits.relativeCost(model)).orElse(1.0);
    }

    boolean isSuspended(long nowNanos) {
        return suspension.isOn(nowNanos);
    }

    int runningSends() {
        return runningSends;
    }

    /** Weighted uncached tokens of the sends that are not resolved. */
    long queuedTokens() {
        return queuedTokens;
    }

    /** Tokens of memory that the running sends may take. */
    long heldTokens() {
        return heldTokens;
    }

    /** What this router has under way at the upstream. */
    OwnLoad ownLoad() {
        return new OwnLoad(key, toInt(queuedTokens), runningSends, toInt(heldTokens));
    }

    /** Records that a send which waits for its headers is hedged. */
    void onHedged(long nowNanos) {
        resolvedSends.onHedged(nowNanos);
    }

    /** How long sends have been hedged without an answer or a failure of the upstream. */
    Duration timeHedged(long nowNanos) {
        return resolvedSends.timeHedged(nowNanos);
    }

    /** Moving average of failures, from 0 to 1. */
    double failureShare() {
        return failureShare;
    }

    int cachedTokens(String model, RoutedRequest request) {
        return prefixCache.cachedTokens(model, request.parts());
    }

    /** The same with the keys that {@link PrefixCacheEstimate#keys} prepared for all upstreams. */
    int cachedTokens(List<String> keys, List<PromptPart> parts) {
        return prefixCache.cachedTokens(keys, parts);
    }

    /** Requests of other routers that run or wait here; empty without a recent report. */
    OptionalInt reportedRequestsOfOthers(long nowNanos) {
        return latestLoad.requestsBeyond(runningSends, nowNanos);
    }

    /** Requests of other routers that run or wait at this upstream; 0 without a recent report. */
    int requestsOfOtherRouters(long nowNanos) {
        return reportedRequestsOfOthers(nowNanos).orElse(0);
    }

    /** Requests that the upstream ran when it last told so, or else those of this router. */
    int lastKnownRunning() {
        return latestLoad.running().orElse(runningSends);
    }

    void onSend(Send send, RoutedRequest request, long nowNanos) {
        runningSends++;
        queuedTokens += send.weightedUncachedTokens();
        heldTokens += send.heldTokens();
        recentSends.add(nowNanos);
        sendsForRateLimit.add(nowNanos);
        lastSendNanos = nowNanos;
        speed.service().onSend(send.weightedUncachedTokens());
        send.model().ifPresent(model -> recordPrompt(model, request.parts()));
    }

    /** Records that the upstream will have the parts of a prompt in its prefix cache. */
    void recordPrompt(String model, List<PromptPart> parts) {
        prefixCache.recordPrompt(model, parts);
    }

    /** Whether no send that started later has been answered or has ended. */
    boolean noLaterSendIsResolved(Send send) {
        return resolvedSends.isNoneLaterThan(send);
    }

    /** Whether so many later sends are resolved that this one is probably not in a queue. */
    boolean isOvertaken(Send send) {
        return resolvedSends.isOvertaken(send);
    }

    /** Records that response headers of a send arrived. */
    void onHeaders(Send send, Optional<ReportedLoad> reportedLoad, long nowNanos) {
        queuedTokens -= send.weightedUncachedTokens();
        resolvedSends.onHeaders(send);
        possibleRestart.onAnswer(send.startNanos(), coldDuration, nowNanos);
        reportedLoad.ifPresent(
                value -> {
                    latestLoad.recordOwn(value, nowNanos);
                    speed.recordPace(value.pacePercent(), nowNanos, nowNanos);
                });
        Duration elapsed = Duration.ofNanos(nowNanos - send.startNanos());
        send.prediction().ifPresent(prediction -> speed.onFirstByte(prediction, elapsed, nowNanos));
    }

    /** Records a load that another router received. */
    void onForwardedLoad(ReportedLoad load, long receivedNanos, long nowNanos) {
        latestLoad.recordForwarded(load, receivedNanos);
        speed.recordPace(load.pacePercent(), receivedNanos, nowNanos);
    }

    /** Predicts the time to the first byte of a response. */
    UpstreamSpeed speed() {
        return speed;
    }

    /** Records when the last event of a running stream came. */
    void onStreamProgress(Send send, long lastEventNanos) {
        possibleRestart.onAnswer(send.startNanos(), coldDuration, lastEventNanos);
    }

    void onSendEnd(SendReport report, long nowNanos) {
        if (!report.headersReceived()) {
            queuedTokens -= report.send().weightedUncachedTokens();
            resolvedSends.onEndWithoutHeaders(report);
        }
        runningSends--;
        heldTokens -= report.send().heldTokens();
        SendOutcome outcome = report.outcome();
        if (outcome == SendOutcome.ANSWERED) {
            suspension.onAnswer();
        }
        if (outcome.isCompleteAnswer()) {
            possibleRestart.onAnswer(report.send().startNanos(), coldDuration, nowNanos);
        }
        if (outcome == SendOutcome.ANSWERED || outcome.isFailure()) {
            failureShare += NEW_OUTCOME_WEIGHT * ((outcome.isFailure() ? 1 : 0) - failureShare);
        }
        if (outcome == SendOutcome.NOT_SENT
                || outcome == SendOutcome.BROKEN
                || outcome == SendOutcome.SILENT) {
            suspension.onLoss(nowNanos);
            possibleRestart.onOwnLoss(outcome == SendOutcome.NOT_SENT, nowNanos);
        }
    }

    private static int toInt(long tokens) {
        return (int) Math.max(0, Math.min(Integer.MAX_VALUE, tokens));
    }
}
