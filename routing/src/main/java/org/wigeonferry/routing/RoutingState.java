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
    private final ModelChoice modelChoice;
    private final DoubleSupplier draw;
    private final UpstreamDirectory upstreams;
    private final RollOutBoard rollOuts;
    private final Placer placer;
    private final Set<String> closedZones = new HashSet<>();
    private final Map<String, ServiceState> services = new HashMap<>();
    private final PoisonRegister poison = new PoisonRegister();
    private Optional<RoutingConfig> config = Optional.empty();
    private LiveEntries entries;

    /**
     * Starts without beliefs.
     *
     * @param entries the entries to reckon with until more is known
     */
    public RoutingState(
            String zone,
            RoutingLimits limits,
            Freshness freshness,
            ModelChoice modelChoice,
            DoubleSupplier draw,
            LiveEntries entries) {
        this.limits = limits;
        this.freshness = freshness;
        this.modelChoice = modelChoice;
        this.draw = draw;
        this.entries = entries;
        upstreams =
                new UpstreamDirectory(
                        limits.lapseGrace(), service -> config.flatMap(c -> c.service(service)));
        rollOuts = new RollOutBoard(limits);
        placer = new Placer(zone, upstreams);
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
    public RollOutBoard rollOuts() {
        return rollOuts;
    }

    /** The contents that break upstreams. */
    public PoisonRegister poison() {
        return poison;
    }

    /** The configuration, once known. */
    public Optional<RoutingConfig> config() {
        return config;
    }

    /** Takes a configuration; an older one than the present is ignored. */
    public boolean configured(RoutingConfig next) {
        if (config.isPresent() && config.get().revision() >= next.revision()) {
            return false;
        }
        config = Optional.of(next);
        upstreams.reconfigured();
        return true;
    }

    /** Closes an availability zone to new work, or opens it. */
    public void zone(String name, boolean closed) {
        if (closed) {
            closedZones.add(name);
            return;
        }
        closedZones.remove(name);
    }

    /** The zones closed to new work. */
    public Set<String> closedZones() {
        return Set.copyOf(closedZones);
    }

    /** Takes the live entries. */
    public void entries(LiveEntries live) {
        entries = live;
    }

    /** Decides whether a request is served. */
    public Admission admit(RoutedRequest request, long now, long wallMillis) {
        if (config.isEmpty()) {
            return new Refused(RefusalCause.NO_CONFIGURATION);
        }
        RoutingConfig known = config.get();
        boolean fresh = freshness.fresh(now, wallMillis);
        Optional<Route> route = known.route(request.host(), request.path());
        if (route.isEmpty()) {
            return refuse(RefusalCause.UNKNOWN_ROUTE, fresh);
        }
        boolean keyed = known.keyed() && !route.get().open();
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
    public Placement place(Job job, String content, long now, long wallMillis) {
        if (job.account().isPresent() && !stillAllowed(job, now, wallMillis)) {
            return refusedAfter(job, RefusalCause.STALE_CONFIGURATION);
        }
        if (job.deadlineNanos() - now < MIN_LEFT.toNanos()) {
            return new Refused(job.runs() > 0 ? RefusalCause.TIMED_OUT : RefusalCause.TOO_LATE);
        }
        if (poison.refused(content, now)) {
            return refusedAfter(job, RefusalCause.POISON);
        }
        if (!mayRunAgain(job)) {
            return refusedAfter(job, RefusalCause.NOT_RUN);
        }
        ModelStep model =
                modelChoice.choose(
                        job,
                        service(job.service()).mayBetter(Placer.rank(job), now, entries.count()));
        UpstreamRule rule = rule();
        Optional<UpstreamState> chosen =
                rollOuts.rules(job, now).stream()
                        .map(r -> placer.choose(job, model.model(), rule.and(r), now))
                        .flatMap(Optional::stream)
                        .findFirst();
        if (chosen.isEmpty()) {
            return refusedAfter(job, RefusalCause.NO_UPSTREAM);
        }
        if (job.sentBefore() && !service(job.service()).budget().tryRepeat(now, entries.count())) {
            return refusedAfter(job, RefusalCause.OVERLOADED);
        }
        Send send = Placer.send(chosen.get(), job, model, now);
        started(send, chosen.get(), job, now);
        return send;
    }

    /**
     * Whether a job whose upstream is silent is better sent to another one.
     *
     * @param answered whether the upstream had begun to answer
     */
    public boolean mayMove(Job job, Send send, boolean answered, long now) {
        if (!job.route().kind().repeatable() || job.runs() >= job.route().maxRuns()) {
            return false;
        }
        boolean lost =
                answered
                        || upstreams
                                .state(send.upstream().incarnation())
                                .map(state -> state.looksLost(send, now))
                                .orElse(true);
        UpstreamRule elsewhere = rule();
        return lost
                && service(job.service()).budget().roomy(now, entries.count())
                && upstreams.states().stream()
                        .anyMatch(s -> !s.suspended(now) && elsewhere.allows(s, job, now));
    }

    /** Takes the head of an answer: the upstream has read the prompt. */
    public void onHead(Send send, Optional<UpstreamLoad> load, long now) {
        Duration first = Duration.ofNanos(now - send.startNanos());
        service(send.upstream().service()).slowness().note(first, send, now);
        upstreams
                .state(send.upstream().incarnation())
                .ifPresent(state -> state.onHead(send, load, now));
    }

    /** Takes the end of a send; true if its content is refused from now on. */
    public boolean ended(Job job, String content, SendReport report, long now) {
        Send send = report.send();
        upstreams
                .state(send.upstream().incarnation())
                .ifPresent(
                        state -> {
                            if (!report.headSeen()) {
                                state.onHead(send, Optional.empty(), now);
                            }
                            state.onEnd(report, now);
                        });
        if (report.outcome().provedNotRun()) {
            job.onProvedNotRun();
        }
        if (report.outcome() == Outcome.DOUBTED) {
            job.onDoubt(send.upstream().incarnation());
        }
        if (report.outcome() == Outcome.MISDIRECTED) {
            upstreams.remove(send.upstream().id(), now);
        }
        rollOuts.onEnd(report, job, now);
        if (report.outcome().whole()) {
            poison.onAnswer(content, now);
        }
        return report.outcome() == Outcome.BROKEN
                && !report.headSeen()
                && poison.onBreak(content, send.upstream().incarnation(), now);
    }

    private boolean stillAllowed(Job job, long now, long wallMillis) {
        return freshness.fresh(now, wallMillis)
                && job.request()
                        .key()
                        .flatMap(key -> config.flatMap(c -> c.account(key)))
                        .isPresent();
    }

    private static boolean mayRunAgain(Job job) {
        if (job.runs() == 0) {
            return true;
        }
        return job.route().kind().repeatable() && job.runs() < job.route().maxRuns();
    }

    private static Refused refuse(RefusalCause cause, boolean fresh) {
        return new Refused(fresh ? cause : RefusalCause.STALE_CONFIGURATION);
    }

    private static Refused refusedAfter(Job job, RefusalCause cause) {
        return new Refused(job.runs() > 0 ? RefusalCause.OUTCOME_UNKNOWN : cause);
    }

    private Job job(RoutedRequest request, Route route, Optional<Account> account, long now) {
        Duration patience = request.patience().orElse(route.timeout());
        Duration time = patience.compareTo(route.timeout()) < 0 ? patience : route.timeout();
        String service = route.service(draw.getAsDouble());
        long deadline = now + time.toNanos();
        return new Job(request, route, account, service, deadline, config.get().revision());
    }

    private UpstreamRule rule() {
        return UpstreamRules.SERVES
                .and(UpstreamRules.STAYS)
                .and(UpstreamRules.UNTRIED)
                .and(UpstreamRules.outside(closedZones))
                .and(UpstreamRules.bearing(this::coldPerSecond));
    }

    private int coldPerSecond(Upstream upstream) {
        double rate =
                config.flatMap(c -> c.service(upstream.service()))
                        .map(ServiceTraits::coldPerSecond)
                        .orElse(0.0);
        return rate <= 0
                ? Integer.MAX_VALUE
                : entries.part(rate * limits.coldOverage() + limits.coldExtra(), upstream.id());
    }

    private void started(Send send, UpstreamState state, Job job, long now) {
        if (!job.sentBefore()) {
            service(job.service()).budget().onFirst(now);
        }
        job.onSend(send.upstream().incarnation());
        state.onSend(send, job.request(), now);
        rollOuts.onSend(send, job, now);
    }

    private ServiceState service(String name) {
        return services.computeIfAbsent(name, key -> new ServiceState(limits));
    }
}
