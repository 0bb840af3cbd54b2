package org.wigeonferry.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * Everything that routing believes, and the decisions on requests.
 *
 * <p>Knows no protocol; time and randomness are passed in. Owned by the control thread.
 */
public final class RoutingState {
    /** Least time with which a send makes sense. */
    private static final Duration MIN_LEFT = Duration.ofMillis(20);

    private final RoutingLimits limits;
    private final Freshness freshness;
    private final ModelSelector modelChoice;
    private final DoubleSupplier draw;
    private final UpstreamDirectory upstreams;
    private final RollOutTracker rollOuts;
    private final UpstreamSelector placer;
    private final Set<String> disabledZones = new HashSet<>();
    private final Map<String, ServiceState> services = new HashMap<>();
    private final PoisonRequestRegister poisonRegister = new PoisonRequestRegister();
    private Optional<RoutingConfig> config = Optional.empty();
    private LiveRouters entries;

    /**
     * Starts without beliefs.
     *
     * @param entries the entries to reckon with until more is known
     */
    public RoutingState(
            String zone,
            RoutingLimits limits,
            Freshness freshness,
            ModelSelector modelChoice,
            DoubleSupplier draw,
            LiveRouters entries) {
        this.limits = limits;
        this.freshness = freshness;
        this.modelChoice = modelChoice;
        this.draw = draw;
        this.entries = entries;
        upstreams =
                new UpstreamDirectory(
                        limits.removalDelayAfterOutage(),
                        service -> config.flatMap(c -> c.service(service)));
        rollOuts = new RollOutTracker(limits);
        placer = new UpstreamSelector(zone, upstreams);
    }

    /** Freshness of the configuration. */
    public Freshness freshness() {
        return freshness;
    }

    /** The upstreams. */
    public UpstreamDirectory upstreams() {
        return upstreams;
    }

    /** The roll-outs. */
    public RollOutTracker rollOuts() {
        return rollOuts;
    }

    /** The contents that break upstreams. */
    public PoisonRequestRegister poisonRegister() {
        return poisonRegister;
    }

    /** The configuration, once known. */
    public Optional<RoutingConfig> config() {
        return config;
    }

    /** Takes a configuration; an older one than the present is ignored. */
    public boolean updateConfig(RoutingConfig next) {
        if (config.isPresent() && config.get().revision() >= next.revision()) {
            return false;
        }
        config = Optional.of(next);
        upstreams.onConfigChange();
        return true;
    }

    /** Closes an availability zone to new work, or opens it. */
    public void setZoneDisabled(String name, boolean closed) {
        if (closed) {
            disabledZones.add(name);
            return;
        }
        disabledZones.remove(name);
    }

    /** The zones closed to new work. */
    public Set<String> disabledZones() {
        return Set.copyOf(disabledZones);
    }

    /** Takes the live entries. */
    public void setLiveRouters(LiveRouters live) {
        entries = live;
    }

    /** Decides whether a request is served. */
    public AdmissionResult admit(RoutedRequest request, long now, long wallMillis) {
        if (config.isEmpty()) {
            return new Refused(RefusalCause.NO_CONFIGURATION);
        }
        RoutingConfig known = config.get();
        boolean fresh = freshness.isUpToDate(now, wallMillis);
        Optional<Route> route = known.route(request.host(), request.path());
        if (route.isEmpty()) {
            return refuse(RefusalCause.UNKNOWN_ROUTE, fresh);
        }
        boolean keyed = known.requiresKeys() && !route.get().keyless();
        if (keyed && !fresh) {
            return new Refused(RefusalCause.STALE_CONFIGURATION);
        }
        Optional<Account> account =
                keyed ? request.key().flatMap(known::account) : Optional.empty();
        if (keyed && account.isEmpty()) {
            return refuse(RefusalCause.UNKNOWN_KEY, fresh);
        }
        return new Admitted(job(request, route.get(), account, now));
    }

    /** Decides where a job goes next. */
    public PlacementResult place(Job job, String content, long now, long wallMillis) {
        if (job.account().isPresent() && !stillAllowed(job, now, wallMillis)) {
            return refusedAfter(job, RefusalCause.STALE_CONFIGURATION);
        }
        if (job.deadlineNanos() - now < MIN_LEFT.toNanos()) {
            return new Refused(
                    job.possibleRuns() > 0 ? RefusalCause.TIMED_OUT : RefusalCause.TOO_LATE);
        }
        if (poisonRegister.isRefused(content, now)) {
            return refusedAfter(job, RefusalCause.POISON);
        }
        if (!mayRunAgain(job)) {
            return refusedAfter(job, RefusalCause.NOT_RUN);
        }
        ModelSelection model =
                modelChoice.select(
                        job,
                        service(job.service())
                                .mayRetryLowConfidence(
                                        UpstreamSelector.rank(job), now, entries.assumedCount()));
        UpstreamRule rule = rule();
        Optional<UpstreamState> chosen =
                rollOuts.upstreamRules(job, now).stream()
                        .map(r -> placer.select(job, model.model(), rule.and(r), now))
                        .flatMap(Optional::stream)
                        .findFirst();
        if (chosen.isEmpty()) {
            return refusedAfter(job, RefusalCause.NO_UPSTREAM);
        }
        if (job.sentBefore()
                && !service(job.service())
                        .retryBudget()
                        .tryAcquireRetry(now, entries.assumedCount())) {
            return refusedAfter(job, RefusalCause.OVERLOADED);
        }
        Send send = UpstreamSelector.newSend(chosen.get(), job, model, now);
        started(send, chosen.get(), job, now);
        return send;
    }

    /**
     * Whether a job whose upstream is silent is better sent to another one.
     *
     * @param answered whether the upstream had begun to answer
     */
    public boolean mayResend(Job job, Send send, boolean answered, long now) {
        if (!job.route().kind().isRepeatable() || job.possibleRuns() >= job.route().maxRuns()) {
            return false;
        }
        boolean lost =
                answered
                        || upstreams
                                .state(send.upstream().incarnation())
                                .map(state -> state.isProbablyLost(send, now))
                                .orElse(true);
        UpstreamRule elsewhere = rule();
        return lost
                && service(job.service()).retryBudget().hasSpareRetries(now, entries.assumedCount())
                && upstreams.states().stream()
                        .anyMatch(s -> !s.isSuspended(now) && elsewhere.allows(s, job, now));
    }

    /** Takes the head of an answer: the upstream has read the prompt. */
    public void onResponseHeaders(Send send, Optional<ReportedLoad> load, long now) {
        Duration first = Duration.ofNanos(now - send.startNanos());
        service(send.upstream().service()).slowness().recordResponseStart(first, send, now);
        upstreams
                .state(send.upstream().incarnation())
                .ifPresent(state -> state.onSendResolved(send, load, now));
    }

    /** Takes the end of a send; true if its content is refused from now on. */
    public boolean onSendEnd(Job job, String content, SendReport report, long now) {
        Send send = report.send();
        upstreams
                .state(send.upstream().incarnation())
                .ifPresent(
                        state -> {
                            if (!report.headersReceived()) {
                                state.onSendResolved(send, Optional.empty(), now);
                            }
                            state.onSendEnd(report, now);
                        });
        if (report.outcome().provedNotRun()) {
            job.onNotRun();
        }
        if (report.outcome() == SendOutcome.DOUBTED) {
            job.onLowConfidenceAnswer(send.upstream().incarnation());
        }
        if (report.outcome() == SendOutcome.MISDIRECTED) {
            upstreams.remove(send.upstream().id(), now);
        }
        rollOuts.onEnd(report, job, now);
        if (report.outcome().isCompleteAnswer()) {
            poisonRegister.onAnswer(content, now);
        }
        return report.outcome() == SendOutcome.BROKEN
                && !report.headersReceived()
                && poisonRegister.onConnectionLoss(content, send.upstream().incarnation(), now);
    }

    private boolean stillAllowed(Job job, long now, long wallMillis) {
        return freshness.isUpToDate(now, wallMillis)
                && job.request()
                        .key()
                        .flatMap(key -> config.flatMap(c -> c.account(key)))
                        .isPresent();
    }

    private static boolean mayRunAgain(Job job) {
        if (job.possibleRuns() == 0) {
            return true;
        }
        return job.route().kind().isRepeatable() && job.possibleRuns() < job.route().maxRuns();
    }

    private static Refused refuse(RefusalCause cause, boolean fresh) {
        return new Refused(fresh ? cause : RefusalCause.STALE_CONFIGURATION);
    }

    private static Refused refusedAfter(Job job, RefusalCause cause) {
        return new Refused(job.possibleRuns() > 0 ? RefusalCause.OUTCOME_UNKNOWN : cause);
    }

    private Job job(RoutedRequest request, Route route, Optional<Account> account, long now) {
        Duration patience = request.callerTimeout().orElse(route.timeout());
        Duration time = patience.compareTo(route.timeout()) < 0 ? patience : route.timeout();
        String service = route.pickService(draw.getAsDouble());
        long deadline = now + time.toNanos();
        return new Job(request, route, account, service, deadline, config.get().revision());
    }

    private UpstreamRule rule() {
        return UpstreamRules.SERVES_JOB
                .and(UpstreamRules.NOT_DRAINING)
                .and(UpstreamRules.NOT_TRIED)
                .and(UpstreamRules.outsideZones(disabledZones))
                .and(UpstreamRules.withinColdRate(this::coldPerSecond));
    }

    private int coldPerSecond(UpstreamInstance upstream) {
        double rate =
                config.flatMap(c -> c.service(upstream.service()))
                        .map(ServiceTraits::maxColdPerSecond)
                        .orElse(0.0);
        return rate <= 0
                ? Integer.MAX_VALUE
                : entries.shareOf(
                        rate * limits.coldRateFactor() + limits.extraColdPerSecond(),
                        upstream.id());
    }

    private void started(Send send, UpstreamState state, Job job, long now) {
        if (!job.sentBefore()) {
            service(job.service()).retryBudget().onFirstSend(now);
        }
        job.onSend(send.upstream().incarnation());
        state.onSend(send, job.request(), now);
        rollOuts.onSend(send, job, now);
    }

    private ServiceState service(String name) {
        return services.computeIfAbsent(name, key -> new ServiceState(limits));
    }
}
