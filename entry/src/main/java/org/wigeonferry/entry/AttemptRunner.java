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
 * Sends attempts of a request to upstreams, one at a time, until one completes the answer, the time
 * limit has passed, or a refusal or failure leaves nothing to retry.
 *
 * <p>After a refusal for a reason that may not hold elsewhere, the next attempt goes to another
 * upstream. After a failure, where the attempt may have run, it does so only if the call has no
 * idempotency key, and then within the retry budget. Decisions are made on the control thread.
 */
final class AttemptRunner {
    private static final Duration UPSTREAM_BLOCK_AFTER_REFUSAL = Duration.ofMillis(50);
    private static final Duration UPSTREAM_BLOCK_AFTER_FAILURE = Duration.ofMillis(500);
    private static final Duration UPSTREAM_BLOCK_AFTER_DRAIN_REFUSAL = Duration.ofSeconds(5);
    private static final int MAX_FAILED_ATTEMPTS = 4;

    /** Attempt numbers of cascade stage s start at s times this value, so none repeats. */
    private static final int ATTEMPT_NUMBERS_PER_STAGE = 100_000;

    private final Call call;
    private final Optional<VersionId> version;
    private final Optional<ServiceId> service;
    private final String operation;
    private final int stage;
    private final EntryRuntime runtime;
    private final ControlExecutor control;
    private final EntryState state;
    private final AnswerSink answerSink;
    private final Set<UpstreamId> triedUpstreams = new HashSet<>();
    private final CompletableFuture<AttemptResult> result = new CompletableFuture<>();
    private int attemptsSent;
    private int failedAttempts;
    private String lastFailure = "";

    AttemptRunner(
            Call call,
            AttemptTarget target,
            int stage,
            EntryRuntime runtime,
            AnswerSink answerSink) {
        this.call = call;
        this.version = target.version();
        this.service = target.service();
        this.operation = target.operation();
        this.stage = stage;
        this.runtime = runtime;
        this.control = runtime.control();
        this.state = runtime.state();
        this.answerSink = answerSink;
    }

    /**
     * Starts the first attempt. The future completes with the result of the last attempt, or with a
     * refusal if certainly no attempt ran.
     */
    CompletableFuture<AttemptResult> start() {
        control.execute(this::tryNextUpstream);
        return result;
    }

    private void tryNextUpstream() {
        if (call.timeLeft().isNegative()) {
            giveUp(
                    Refusal.of(
                            RefusalReason.DEADLINE_PASSED,
                            "no upstream accepted the request in time"));
            return;
        }
        long nowNanos = control.nanoTime();
        Catalog catalog = state.controlState().catalog();
        if (state.controlState().suspects().isPoison(call.requestDigest(), nowNanos)) {
            giveUp(Refusal.of(RefusalReason.POISON, "request crashed upstreams"));
            return;
        }
        if (version.filter(id -> isUnknownOrWithdrawn(id, catalog)).isPresent()) {
            giveUp(Refusal.of(RefusalReason.VERSION_WITHDRAWN, "version was withdrawn"));
            return;
        }
        if (!state.controlState().checkFreshness(nowNanos)) {
            state.capacityQueue().enqueue(this::tryNextUpstream);
            return;
        }
        RouteQuery query = new RouteQuery(call.account().id(), version, service, triedUpstreams);
        Optional<Upstream> upstream = state.upstreamRouter().route(query, catalog, nowNanos);
        if (upstream.isEmpty()) {
            waitForCapacity();
            return;
        }
        send(upstream.get(), catalog);
    }

    private static boolean isUnknownOrWithdrawn(VersionId id, Catalog catalog) {
        return catalog.version(id).filter(version -> !version.withdrawn()).isEmpty();
    }

    /** No upstream is left: considers all of them again once one may have free capacity. */
    private void waitForCapacity() {
        triedUpstreams.clear();
        state.capacityQueue().enqueue(this::tryNextUpstream);
    }

    private void send(Upstream upstream, Catalog catalog) {
        StartOrder order = newStartOrder(catalog);
        attemptsSent++;
        state.upstreamRouter().onAttemptSent(upstream.id());
        TokenTimes times = new TokenTimes(call, control, runtime.metrics());
        runtime.attemptClient()
                .send(
                        order,
                        upstream,
                        answerSink.offset(),
                        call.body(),
                        (data, callback) -> {
                            times.recordArrival()
                                    .ifPresent(latency -> recordFirstToken(upstream, latency));
                            answerSink.onBytes(data, callback);
                        })
                .whenComplete(
                        (attemptResult, failure) ->
                                control.execute(
                                        () -> {
                                            state.upstreamRouter().onAttemptEnded(upstream.id());
                                            onAttemptEnd(upstream, attemptResult, failure);
                                            state.capacityQueue().onAttemptEnded();
                                        }));
    }

    private void recordFirstToken(Upstream upstream, Duration latency) {
        control.execute(() -> state.upstreamRouter().onFirstToken(upstream.id(), latency));
    }

    private StartOrder newStartOrder(Catalog catalog) {
        Optional<Suspicion> suspicion =
                state.controlState().suspects().find(call.requestDigest(), control.nanoTime());
        return StartOrder.builder()
                .entry(state.controlState().identity().incarnationId())
                .requestId(call.requestId())
                .attemptNumber(stage * ATTEMPT_NUMBERS_PER_STAGE + attemptsSent)
                .account(call.account().id())
                .version(version)
                .service(service)
                .operation(operation)
                .revision(catalog.revision())
                .timeLeft(call.timeLeft())
                .requestDigest(call.requestDigest())
                .idempotencyKey(call.idempotencyKey())
                .suspected(suspicion.isPresent())
                .answerBytesAtCrash(suspicion.map(Suspicion::answerBytes).orElse(0L))
                .build();
    }

    private void onAttemptEnd(Upstream upstream, AttemptResult attemptResult, Throwable failure) {
        if (failure != null) {
            onFailed(upstream, new AttemptFailed(failure.toString(), false, false, 0));
            return;
        }
        if (attemptResult instanceof AttemptFinished finished) {
            state.controlState().suspects().onRequestFinished(call.requestDigest());
            version.ifPresent(state.controlState().evidence()::onAnswer);
            state.upstreamRouter()
                    .onLoadReport(
                            upstream.id(), finished.end().getInFlight(), finished.end().getLimit());
            result.complete(finished);
            return;
        }
        if (attemptResult instanceof AttemptRefused refused) {
            onRefused(upstream, refused);
            return;
        }
        onFailed(upstream, (AttemptFailed) attemptResult);
    }

    private void onRefused(Upstream upstream, AttemptRefused refused) {
        runtime.metrics().count("refusals", "reason", refused.refusal().reason().name());
        if (!refused.refusal().reason().mayRetryElsewhere()) {
            giveUp(refused.refusal());
            return;
        }
        triedUpstreams.add(upstream.id());
        state.upstreamRouter()
                .block(
                        upstream.id(),
                        blockDuration(refused.refusal().reason()),
                        control.nanoTime());
        if (state.controlState().catalog().revision().isBefore(refused.revision())) {
            fetchNewerConfig(upstream);
            return;
        }
        tryNextUpstream();
    }

    private static Duration blockDuration(RefusalReason reason) {
        return switch (reason) {
            case SHUTTING_DOWN, UPSTREAM_LEAVING -> UPSTREAM_BLOCK_AFTER_DRAIN_REFUSAL;
            case NOT_CONNECTED -> UPSTREAM_BLOCK_AFTER_FAILURE;
            default -> UPSTREAM_BLOCK_AFTER_REFUSAL;
        };
    }

    /** Fetches the agent's newer configuration before an upstream is chosen again. */
    private void fetchNewerConfig(Upstream upstream) {
        Exchanger exchanger = runtime.exchanger();
        exchanger
                .exchange(upstream.agentAddress())
                .whenComplete((done, failure) -> control.execute(this::tryNextUpstream));
    }

    private void onFailed(Upstream upstream, AttemptFailed failed) {
        failedAttempts++;
        lastFailure = failed.detail();
        version.ifPresent(state.controlState().evidence()::onError);
        runtime.metrics().count("attempt_failures", "upstream", upstream.id().value());
        state.upstreamRouter()
                .block(upstream.id(), UPSTREAM_BLOCK_AFTER_FAILURE, control.nanoTime());
        triedUpstreams.add(upstream.id());
        if (failed.upstreamCrashed()) {
            recordCrash(failed);
            CompletableFuture<Void> peersNotified = runtime.exchanger().pushToPeers();
            if (failed.poison()) {
                peersNotified.whenComplete((done, failure) -> result.complete(failed));
                return;
            }
        }
        boolean repeatable = call.idempotencyKey().isEmpty();
        boolean retry = repeatable && !answerSink.callerDisconnected();
        if (retry
                && failedAttempts < MAX_FAILED_ATTEMPTS
                && state.retryBudget().tryAcquireRetry()) {
            tryNextUpstream();
            return;
        }
        result.complete(failed);
    }

    private void recordCrash(AttemptFailed failed) {
        long nowNanos = control.nanoTime();
        SuspectRegister suspects = state.controlState().suspects();
        int crashes =
                suspects.find(call.requestDigest(), nowNanos).map(Suspicion::crashes).orElse(0) + 1;
        suspects.merge(
                new Suspicion(
                        call.requestDigest(),
                        failed.poison(),
                        failed.answerBytesAtCrash(),
                        crashes,
                        nowNanos));
    }

    private void giveUp(Refusal refusal) {
        if (failedAttempts > 0) {
            boolean poison = refusal.reason() == RefusalReason.POISON;
            result.complete(new AttemptFailed(lastFailure, false, poison, 0));
            return;
        }
        result.complete(new AttemptRefused(refusal, state.controlState().catalog().revision()));
    }
}
