package org.wigeonferry.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.wigeonferry.routing.hedging.HedgingRule;
import org.wigeonferry.routing.prediction.StartEstimate;

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
    private final RequestAdmission admission;
    private final UpstreamDirectory upstreams;
    private final RollOutTracker rollOuts;
    private final PeerLoads peerLoads = new PeerLoads();
    private final ModelChoice modelChoice;
    private final LoadAdmission loadAdmission;
    private final SendEvents sendEvents;
    private final ResendRule resendRule;
    private final PlacementRules placementRules;
    private final HedgedPlacement hedgedPlacement;
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
        admission = new RequestAdmission(freshness, randomSamples);
        this.routers = routers;
        upstreams =
                new UpstreamDirectory(
                        limits.outageGracePeriod(), s -> config.flatMap(c -> c.serviceTraits(s)));
        rollOuts = new RollOutTracker(limits);
        placementRules = new PlacementRules(limits, upstreams.notices());
        UpstreamSelector selector = new UpstreamSelector(zone, upstreams, peerLoads);
        RoomRules rooms = new RoomRules(zone, peerLoads, routers);
        Supplier<UpstreamRule> connections = () -> placementRules.connections(config, this.routers);
        loadAdmission = new LoadAdmission(upstreams, selector, rooms, connections);
        modelChoice =
                new ModelChoice(modelSelector, selector, this::rulesFor, loadAdmission::hasWaiting);
        loadAdmission.setStartEstimate(startEstimate());
        hedgedPlacement =
                new HedgedPlacement(
                        new HedgingRule(limits.hedgedSendShare()),
                        upstreams,
                        selector,
                        rollOuts,
                        loadAdmission::hasWaiting);
        resendRule = new ResendRule(upstreams);
        sendEvents =
                new SendEvents(upstreams, rollOuts, poisonRegister, loadAdmission, this::stateOf);
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

    /** The loads that upstreams reported and that the zone's other routers are to be told. */
    public ReceivedLoads receivedLoads() {
        return sendEvents.receivedLoads();
    }

    /** The limits of what is placed on upstreams, and the jobs that wait. */
    public LoadAdmission loadAdmission() {
        return loadAdmission;
    }

    /** Sets what is called, on the control thread, after each choice of an upstream. */
    public void setSendListener(BiConsumer<Job, Send> listener) {
        sendListener = listener;
    }

    /** Limits the sends at each upstream to this router's share of its connections. */
    public void limitConnections() {
        placementRules.limitConnections();
    }

    /** This router's share of the connections to each upstream that is not draining. */
    public Map<Incarnation, Integer> connectionShares() {
        return ConnectionShares.of(upstreams.upstreamStates(), config, routers);
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
            return Refused.of(job, RefusalCause.STALE_CONFIGURATION);
        }
        if (loadAdmission.isWaiting(job) && !RequestAdmission.isRouteInForce(config, job)) {
            return Refused.of(job, RefusalCause.UNKNOWN_ROUTE);
        }
        if (job.deadlineNanos() - nowNanos < MIN_TIME_LEFT.toNanos()) {
            return new Refused(
                    job.possibleRuns() > 0 ? RefusalCause.TIMED_OUT : RefusalCause.TOO_LATE);
        }
        if (poisonRegister.isRefused(requestDigest, job.request().parts(), routers, nowNanos)) {
            return Refused.of(job, RefusalCause.POISON);
        }
        if (!job.mayRunAgain()) {
            return Refused.of(job, RefusalCause.NOT_RUN);
        }
        ModelSelection selection = selectModel(job, nowNanos);
        UpstreamChoice choice =
                loadAdmission.choose(job, selection.model(), rulesFor(job, nowNanos), nowNanos);
        if (choice.lacksRoom()) {
            return loadAdmission.waitOrRefuse(job, nowNanos);
        }
        if (choice.upstream().isEmpty()) {
            return Refused.of(job, RefusalCause.NO_UPSTREAM)
                    .withRetryAfter(upstreams.soonestReturn(job.service(), routers, nowNanos));
        }
        if (job.wasSentBefore()
                && !stateOf(job.service())
                        .retryBudget()
                        .tryAcquireRetry(nowNanos, routers.assumedCount())) {
            return Refused.of(job, RefusalCause.OVERLOADED);
        }
        SelectedUpstream upstream = choice.upstream().get();
        Send send = UpstreamSelector.newSend(upstream, job, selection, nowNanos);
        recordSend(send, job, nowNanos);
        return send;
    }

    /** How soon a job could get the first byte of its response, if it were sent now. */
    public StartEstimate startEstimate() {
        return (job, nowNanos) ->
                modelChoice.timeToFirstByte(job, selectModel(job, nowNanos).model(), nowNanos);
    }

    /**
     * Decides whether a job whose first send is not answered yet is sent to a second upstream too;
     * chooses the upstream and records the send.
     */
    public HedgePlan planHedgedSend(
            Job job, Send first, String requestDigest, long nowNanos, long wallMillis) {
        BooleanSupplier isAllowed =
                () ->
                        admission.isKeyStillValid(config, job, nowNanos, wallMillis)
                                && !poisonRegister.isSuspected(
                                        requestDigest, job.request().parts());
        ServiceState service = stateOf(job.service());
        HedgePlan plan =
                hedgedPlacement.plan(
                        job,
                        first,
                        service,
                        placementRules.all(config, routers).and(loadAdmission::hasSpareRoom),
                        isAllowed,
                        routers,
                        nowNanos);
        plan.send().ifPresent(send -> recordSend(send, job, nowNanos));
        return plan;
    }

    /**
     * Whether a job whose upstream is silent may be sent to another one.
     *
     * @param silence time since the last progress of the answer, or since the start of the send
     */
    public boolean mayResend(
            Job job, Send send, boolean answerBegun, Duration silence, long nowNanos) {
        ServiceState service = stateOf(job.service());
        UpstreamRule rule = placementRules.all(config, routers).and(loadAdmission::hasSpareRoom);
        return service.hasSpareRetries(nowNanos, routers.assumedCount())
                && resendRule.allows(job, send, service, answerBegun, silence, rule, nowNanos);
    }

    /** Records that response headers arrived, which shows that the prompt was processed. */
    public void onResponseHeaders(Send send, Optional<ReportedLoad> load, long nowNanos) {
        sendEvents.onResponseHeaders(send, load, nowNanos);
    }

    /** Records the mean gap so far between the events of a running stream, and the last event. */
    public void onStreamProgress(Send send, Duration gap, long lastEventNanos) {
        sendEvents.onStreamProgress(send, gap, lastEventNanos);
    }

    /** Records the end of a send; true if requests like it are refused from now on. */
    public boolean onSendEnd(Job job, String requestDigest, SendReport report, long nowNanos) {
        return sendEvents.onSendEnd(job, requestDigest, report, nowNanos);
    }

    private ModelSelection selectModel(Job job, long nowNanos) {
        return modelChoice.select(job, stateOf(job.service()), routers.assumedCount(), nowNanos);
    }

    private List<UpstreamRule> rulesFor(Job job, long nowNanos) {
        UpstreamRule rule = placementRules.all(config, routers);
        return rollOuts.upstreamRules(job, routers.assumedCount(), nowNanos).stream()
                .map(rule::and)
                .toList();
    }

    private void recordSend(Send send, Job job, long nowNanos) {
        if (!job.wasSentBefore()) {
            stateOf(job.service()).retryBudget().onFirstSend(nowNanos);
        }
        job.onSend(send);
        sendEvents.onSend(send, job, nowNanos);
        sendListener.accept(job, send);
    }

    private ServiceState stateOf(String service) {
        return services.computeIfAbsent(service, key -> new ServiceState(limits));
    }
}
