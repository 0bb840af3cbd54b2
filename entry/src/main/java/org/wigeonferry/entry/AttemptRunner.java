package org.wigeonferry.entry;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.Refusal;
import org.wigeonferry.core_types.RefusalReason;
import org.wigeonferry.core_types.ServiceId;
import org.wigeonferry.core_types.StartOrder;
import org.wigeonferry.core_types.Upstream;
import org.wigeonferry.core_types.UpstreamId;
import org.wigeonferry.core_types.VersionId;
import org.wigeonferry.decisions.RouteQuery;
import org.wigeonferry.decisions.SuspectRegister;
import org.wigeonferry.decisions.Suspicion;
import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.node_runtime.Exchanger;

/**
 * Tries upstreams until one gives the whole answer, the deadline passes, or the outcome is final.
 *
 * <p>A refusal leads to another upstream; a failure does so only if the call may be repeated, and
 * then within the retry budget. Decisions are made on the control thread; one attempt runs at a
 * time.
 */
final class AttemptRunner {
    private static final Duration BLOCK_AFTER_REFUSAL = Duration.ofMillis(50);
    private static final Duration BLOCK_AFTER_LOSS = Duration.ofMillis(500);
    private static final Duration BLOCK_WHILE_LEAVING = Duration.ofSeconds(5);
    private static final int MAX_FAILURES = 4;

    /** Keeps the attempt numbers of different stages apart. */
    private static final int STAGE_STRIDE = 100_000;

    private final Call call;
    private final Optional<VersionId> version;
    private final Optional<ServiceId> service;
    private final String operation;
    private final int stage;
    private final EntryRuntime runtime;
    private final ControlExecutor control;
    private final EntryState state;
    private final AnswerSink progress;
    private final Set<UpstreamId> tried = new HashSet<>();
    private final CompletableFuture<AttemptResult> result = new CompletableFuture<>();
    private int attempt;
    private int failures;
    private String lastFailure = "";

    AttemptRunner(
            Call call, AttemptTarget target, int stage, EntryRuntime runtime, AnswerSink progress) {
        this.call = call;
        this.version = target.version();
        this.service = target.service();
        this.operation = target.operation();
        this.stage = stage;
        this.runtime = runtime;
        this.control = runtime.control();
        this.state = runtime.state();
        this.progress = progress;
    }

    /** Begins; the result is the last attempt's, or a refusal if none may have run. */
    CompletableFuture<AttemptResult> start() {
        control.execute(this::next);
        return result;
    }

    private void next() {
        if (call.timeLeft().isNegative()) {
            giveUp(
                    Refusal.of(
                            RefusalReason.DEADLINE_PASSED, "no upstream took the request in time"));
            return;
        }
        long now = control.nanoTime();
        Catalog catalog = state.controlState().catalog();
        if (state.controlState().suspects().isPoison(call.requestDigest(), now)) {
            giveUp(Refusal.of(RefusalReason.POISON, "request crashed upstreams"));
            return;
        }
        if (version.filter(id -> withdrawn(id, catalog)).isPresent()) {
            giveUp(Refusal.of(RefusalReason.VERSION_WITHDRAWN, "version was withdrawn"));
            return;
        }
        if (!state.controlState().checkFreshness(now)) {
            state.capacityQueue().enqueue(this::next);
            return;
        }
        RouteQuery query = new RouteQuery(call.account().id(), version, service, tried);
        Optional<Upstream> upstream = state.upstreamRouter().route(query, catalog, now);
        if (upstream.isEmpty()) {
            waitForCapacity();
            return;
        }
        send(upstream.get(), catalog);
    }

    private static boolean withdrawn(VersionId id, Catalog catalog) {
        return catalog.version(id).filter(version -> !version.withdrawn()).isEmpty();
    }

    /** All upstreams refused or are blocked: asks them anew once there may be room. */
    private void waitForCapacity() {
        tried.clear();
        state.capacityQueue().enqueue(this::next);
    }

    private void send(Upstream upstream, Catalog catalog) {
        StartOrder order = order(catalog);
        attempt++;
        state.upstreamRouter().onAttemptSent(upstream.id());
        TokenTimes times = new TokenTimes(call, control, runtime.metrics());
        runtime.attemptClient()
                .send(
                        order,
                        upstream,
                        progress.offset(),
                        call.body(),
                        (data, taken) -> {
                            times.recordArrival()
                                    .ifPresent(latency -> noteFirstToken(upstream, latency));
                            progress.onBytes(data, taken);
                        })
                .whenComplete(
                        (end, failure) ->
                                control.execute(
                                        () -> {
                                            state.upstreamRouter().onAttemptEnded(upstream.id());
                                            onEnd(upstream, end, failure);
                                            state.capacityQueue().onAttemptEnded();
                                        }));
    }

    private void noteFirstToken(Upstream upstream, Duration latency) {
        control.execute(() -> state.upstreamRouter().onFirstToken(upstream.id(), latency));
    }

    private StartOrder order(Catalog catalog) {
        Optional<Suspicion> suspicion =
                state.controlState().suspects().find(call.requestDigest(), control.nanoTime());
        return StartOrder.builder()
                .entry(state.controlState().identity().incarnationId())
                .requestId(call.requestId())
                .attemptNumber(stage * STAGE_STRIDE + attempt)
                .account(call.account().id())
                .version(version)
                .service(service)
                .operation(operation)
                .revision(catalog.revision())
                .timeLeft(call.timeLeft())
                .requestDigest(call.requestDigest())
                .idempotencyKey(call.idempotencyKey())
                .suspected(suspicion.isPresent())
                .answerBytesAtCrash(suspicion.map(Suspicion::answerPosition).orElse(0L))
                .build();
    }

    private void onEnd(Upstream upstream, AttemptResult end, Throwable failure) {
        if (failure != null) {
            onFailed(upstream, new AttemptFailed(failure.toString(), false, false, 0));
            return;
        }
        if (end instanceof AttemptFinished finished) {
            state.controlState().suspects().onRequestFinished(call.requestDigest());
            version.ifPresent(state.controlState().evidence()::onAnswer);
            state.upstreamRouter()
                    .onLoadReport(
                            upstream.id(), finished.end().getInFlight(), finished.end().getLimit());
            result.complete(finished);
            return;
        }
        if (end instanceof AttemptRefused refused) {
            onRefused(upstream, refused);
            return;
        }
        onFailed(upstream, (AttemptFailed) end);
    }

    private void onRefused(Upstream upstream, AttemptRefused refused) {
        runtime.metrics().count("refusals", "reason", refused.refusal().reason().name());
        if (!refused.refusal().reason().mayRetryElsewhere()) {
            giveUp(refused.refusal());
            return;
        }
        tried.add(upstream.id());
        state.upstreamRouter()
                .block(upstream.id(), blockAfter(refused.refusal().reason()), control.nanoTime());
        if (state.controlState().catalog().revision().isBefore(refused.revision())) {
            catchUp(upstream);
            return;
        }
        next();
    }

    private static Duration blockAfter(RefusalReason reason) {
        return switch (reason) {
            case SHUTTING_DOWN, UPSTREAM_LEAVING -> BLOCK_WHILE_LEAVING;
            case NOT_CONNECTED -> BLOCK_AFTER_LOSS;
            default -> BLOCK_AFTER_REFUSAL;
        };
    }

    /** The agent's configuration is newer: takes it over before choosing again. */
    private void catchUp(Upstream upstream) {
        Exchanger exchanger = runtime.exchanger();
        exchanger
                .exchange(upstream.agentAddress())
                .whenComplete((done, failure) -> control.execute(this::next));
    }

    private void onFailed(Upstream upstream, AttemptFailed failed) {
        failures++;
        lastFailure = failed.detail();
        version.ifPresent(state.controlState().evidence()::onError);
        runtime.metrics().count("attempt_failures", "upstream", upstream.id().value());
        state.upstreamRouter().block(upstream.id(), BLOCK_AFTER_LOSS, control.nanoTime());
        tried.add(upstream.id());
        if (failed.upstreamCrashed()) {
            noteLoss(failed);
            CompletableFuture<Void> told = runtime.exchanger().pushToPeers();
            if (failed.poison()) {
                told.whenComplete((done, failure) -> result.complete(failed));
                return;
            }
        }
        boolean repeatable = call.idempotencyKey().isEmpty();
        boolean retry = repeatable && !progress.callerDisconnected();
        if (retry && failures < MAX_FAILURES && state.retryBudget().tryAcquireRetry()) {
            next();
            return;
        }
        result.complete(failed);
    }

    private void noteLoss(AttemptFailed failed) {
        long now = control.nanoTime();
        SuspectRegister suspects = state.controlState().suspects();
        int losses = suspects.find(call.requestDigest(), now).map(Suspicion::crashes).orElse(0) + 1;
        suspects.merge(
                new Suspicion(
                        call.requestDigest(),
                        failed.poison(),
                        failed.answerBytesAtCrash(),
                        losses,
                        now));
    }

    private void giveUp(Refusal refusal) {
        if (failures > 0) {
            boolean condemned = refusal.reason() == RefusalReason.POISON;
            result.complete(new AttemptFailed(lastFailure, false, condemned, 0));
            return;
        }
        result.complete(new AttemptRefused(refusal, state.controlState().catalog().revision()));
    }
}
