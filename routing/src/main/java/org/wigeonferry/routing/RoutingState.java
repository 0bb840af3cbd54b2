package org.wigeonferry.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.DoubleSupplier;

/**
 * The state that routing decisions depend on, and the decisions on requests.
 *
 * <p>Independent of protocols; times and random samples are passed in, {@code nowNanos} being from
 * {@link System#nanoTime}. Owned by the control thread.
 */
public final class RoutingState {
    /** Shortest time to the deadline with which a request is still sent. */
    static final Duration MIN_TIME_LEFT = Duration.ofMillis(20);

    private final RoutingLimits limits;
    private final Freshness freshness;
    private final ModelSelector modelSelector;
    private final RequestAdmission admission;
    private final UpstreamDirectory upstreams;
    private final RollOutTracker rollOuts;
    private final PeerLoads peerLoads = new PeerLoads();
    private final LoadAdmission loadAdmission;
    private final PlacementRules placementRules;
    private final Map<String, ServiceState> services = new HashMap<>();
    private final PoisonRegister poisonRegister = new PoisonRegister();
    private BiConsumer<Job, Send> sendListener = (job, send) -> {};
    private Optional<RoutingConfig> config = Optional.empty();
    private LiveRouters routers;

    /**
     * Starts without a configuration and without upstreams.
     *
     * @param randomSamples samples uniformly distributed in [0, 1)
     * @param routers routers among which limits are divided, until {@link #setLiveRouters}
     */
    public RoutingState(
            String zone,
            RoutingLimits limits,
            Freshness freshness,
            ModelSelector modelSelector,
            DoubleSupplier randomSamples,
            LiveRouters routers) {
        this.limits = limits;
        this.freshness = freshness;
        this.modelSelector = modelSelector;
        admission = new RequestAdmission(freshness, randomSamples);
        this.routers = routers;
        upstreams =
                new UpstreamDirectory(
                        limits.outageGracePeriod(), s -> config.flatMap(c -> c.serviceTraits(s)));
        rollOuts = new RollOutTracker(limits);
        placementRules = new PlacementRules(limits, upstreams.notices());
        loadAdmission =
                new LoadAdmission(
                        upstreams,
                        new UpstreamSelector(zone, upstreams, peerLoads),
                        new RoomRules(zone, peerLoads, routers));
    }

    /** When the configuration was last confirmed, and whether it is still up to date. */
    public Freshness freshness() {
        return freshness;
    }

    public UpstreamDirectory upstreams() {
        return upstreams;
    }

    public RollOutTracker rollOuts() {
        return rollOuts;
    }

    public PoisonRegister poisonRegister() {
        return poisonRegister;
    }

    /** What the other routers of the zone have under way. */
    public PeerLoads peerLoads() {
        return peerLoads;
    }

    /** The limits of what is placed on upstreams, and the jobs that wait. */
    public LoadAdmission loadAdmission() {
        return loadAdmission;
    }

    /** Sets what is called, on the control thread, after each choice of an upstream. */
    public void setSendListener(BiConsumer<Job, Send> listener) {
        sendListener = listener;
    }

    /** What this router has under way, by upstream. */
    public List<OwnLoad> ownLoads() {
        return upstreams.ownLoads();
    }

    /** The configuration; empty until the first one is known. */
    public Optional<RoutingConfig> config() {
        return config;
    }

    /** Replaces the configuration; ignored, with result false, unless its revision is higher. */
    public boolean updateConfig(RoutingConfig newConfig) {
        if (config.isPresent() && config.get().revision() >= newConfig.revision()) {
            return false;
        }
        config = Optional.of(newConfig);
        upstreams.onConfigChange();
        loadAdmission.onConfigChange();
        return true;
    }

    /** Disables an availability zone for new sends, or enables it again. */
    public void setZoneDisabled(String zone, boolean disabled) {
        placementRules.setZoneDisabled(zone, disabled);
    }

    /** The availability zones that get no new sends. */
    public Set<String> disabledZones() {
        return placementRules.disabledZones();
    }

    /** Replaces the live routers among which limits are divided. */
    public void setLiveRouters(LiveRouters newRouters) {
        routers = newRouters;
        peerLoads.silentPeers().retain(newRouters.names());
        loadAdmission.setLiveRouters(newRouters);
    }

    /** Checks configuration, route and key of a request; {@link #routeJob} may still refuse it. */
    public AdmissionResult admit(RoutedRequest request, long nowNanos, long wallMillis) {
        return admission.admit(config, request, nowNanos, wallMillis);
    }

    /** Chooses an upstream for a job and records the send, or refuses it or lets it wait. */
    public PlacementResult routeJob(Job job, String requestDigest, long nowNanos, long wallMillis) {
        if (!admission.isKeyStillValid(config, job, nowNanos, wallMillis)) {
            return refusalOrOutcomeUnknown(job, RefusalCause.STALE_CONFIGURATION);
        }
        if (loadAdmission.isWaiting(job) && !RequestAdmission.isRouteInForce(config, job)) {
            return refusalOrOutcomeUnknown(job, RefusalCause.UNKNOWN_ROUTE);
        }
        if (job.deadlineNanos() - nowNanos < MIN_TIME_LEFT.toNanos()) {
            return new Refused(
                    job.possibleRuns() > 0 ? RefusalCause.TIMED_OUT : RefusalCause.TOO_LATE);
        }
        List<PromptPart> parts = job.request().parts();
        if (poisonRegister.isRefused(requestDigest, parts, routers, nowNanos)) {
            return refusalOrOutcomeUnknown(job, RefusalCause.POISON);
        }
        if (!job.mayRunAgain()) {
            return refusalOrOutcomeUnknown(job, RefusalCause.NOT_RUN);
        }
        ModelSelection selection =
                modelSelector.select(
                        job,
                        stateOf(job.service())
                                .mayRetryLowConfidence(
                                        UpstreamSelector.rank(job),
                                        nowNanos,
                                        routers.assumedCount()));
        UpstreamRule rule = commonRule();
        List<UpstreamRule> rules =
                rollOuts.upstreamRules(job, routers.assumedCount(), nowNanos).stream()
                        .map(rule::and)
                        .toList();
        UpstreamChoice choice = loadAdmission.choose(job, selection.model(), rules, nowNanos);
        if (choice.lacksRoom()) {
            return loadAdmission.waitOrRefuse(job, nowNanos);
        }
        if (choice.upstream().isEmpty()) {
            return noUpstream(job, nowNanos);
        }
        if (job.wasSentBefore()
                && !stateOf(job.service())
                        .retryBudget()
                        .tryAcquireRetry(nowNanos, routers.assumedCount())) {
            return refusalOrOutcomeUnknown(job, RefusalCause.OVERLOADED);
        }
        UpstreamState upstream = choice.upstream().get();
        Send send = UpstreamSelector.newSend(upstream, job, selection, nowNanos);
        recordSend(send, upstream, job, nowNanos);
        return send;
    }

    /**
     * Whether a job whose upstream is silent may be sent to another one: it may run again, the
     * upstream is probably not just busy, and the retry budget and an upstream allow it.
     *
     * @param silence time since the last progress of the answer, or since the start of the send
     */
    public boolean mayResend(
            Job job, Send send, boolean answerBegun, Duration silence, long nowNanos) {
        if (!job.route().kind().isRepeatable() || job.possibleRuns() >= job.route().maxRuns()) {
            return false;
        }
        ServiceState service = stateOf(job.service());
        Duration usualWait = service.waits(send.model()).value();
        boolean isGivenUp =
                upstreams
                        .state(send.upstream().incarnation())
                        .filter(
                                state ->
                                        answerBegun
                                                ? !SilenceRule.isStalled(
                                                        state, job.route(), silence, nowNanos)
                                                : !SilenceRule.isLost(
                                                        state, send, usualWait, silence))
                        .isEmpty();
        UpstreamRule rule = commonRule().and(loadAdmission::hasSpareRoom);
        return isGivenUp
                && service.retryBudget().hasSpareRetries(nowNanos, routers.assumedCount())
                && upstreams.upstreamStates().stream()
                        .anyMatch(s -> !s.isSuspended(nowNanos) && rule.allows(s, job, nowNanos));
    }

    /** Records that response headers arrived, which shows that the prompt was processed. */
    public void onResponseHeaders(Send send, Optional<ReportedLoad> load, long nowNanos) {
        Duration elapsed = Duration.ofNanos(nowNanos - send.startNanos());
        ServiceState service = stateOf(send.upstream().service());
        service.slowness().recordTimeToHeaders(elapsed, send, nowNanos);
        service.waits(send.model()).record(elapsed.minus(Slowness.timeToProcess(send)));
        upstreams
                .state(send.upstream().incarnation())
                .ifPresent(state -> state.onHeaders(send, load, nowNanos));
    }

    /** Records the mean gap so far between the events of a running stream, and the last event. */
    public void onStreamProgress(Send send, Duration gap, long lastEventNanos) {
        upstreams
                .state(send.upstream().incarnation())
                .ifPresent(state -> state.onStreamProgress(send, lastEventNanos));
        rollOuts.onStreamProgress(send, gap, upstreams.runningRequests(send.upstream()));
    }

    /** Records the end of a send; true if requests like it are refused from now on. */
    public boolean onSendEnd(Job job, String requestDigest, SendReport report, long nowNanos) {
        Send send = report.send();
        upstreams
                .state(send.upstream().incarnation())
                .ifPresent(state -> state.onSendEnd(report, nowNanos));
        if (report.outcome() == SendOutcome.SILENT && !report.headersReceived()) {
            Duration elapsed = Duration.ofNanos(nowNanos - send.startNanos());
            stateOf(send.upstream().service())
                    .waits(send.model())
                    .recordGivenUp(elapsed.minus(Slowness.timeToProcess(send)));
        }
        if (report.outcome().provedNotRun()) {
            job.onSendProvedNotRun();
        }
        if (report.outcome() == SendOutcome.DOUBTED) {
            job.onLowConfidenceAnswer(send.upstream().incarnation());
        }
        if (report.outcome() == SendOutcome.MISDIRECTED) {
            upstreams.remove(send.upstream().id(), nowNanos);
        }
        rollOuts.onSendEnd(report, job, upstreams.runningRequests(send.upstream()), nowNanos);
        boolean newPoison =
                poisonRegister.onSendEnd(requestDigest, job.request().parts(), report, nowNanos);
        loadAdmission.onSendEnd(job, report, nowNanos);
        return newPoison;
    }

    private static Refused refusalOrOutcomeUnknown(Job job, RefusalCause cause) {
        return new Refused(job.possibleRuns() > 0 ? RefusalCause.OUTCOME_UNKNOWN : cause);
    }

    private Refused noUpstream(Job job, long nowNanos) {
        Refused refused = refusalOrOutcomeUnknown(job, RefusalCause.NO_UPSTREAM);
        return new Refused(
                refused.cause(), upstreams.soonestReturn(job.service(), routers, nowNanos));
    }

    private UpstreamRule commonRule() {
        return placementRules.all(config, routers);
    }

    private void recordSend(Send send, UpstreamState state, Job job, long nowNanos) {
        if (!job.wasSentBefore()) {
            stateOf(job.service()).retryBudget().onFirstSend(nowNanos);
        }
        job.onSend(send.upstream().incarnation());
        state.onSend(send, job.request(), nowNanos);
        rollOuts.onSend(send, job, nowNanos);
        loadAdmission.onSend(job, send, nowNanos);
        sendListener.accept(job, send);
    }

    private ServiceState stateOf(String service) {
        return services.computeIfAbsent(service, key -> new ServiceState(limits));
    }
}
