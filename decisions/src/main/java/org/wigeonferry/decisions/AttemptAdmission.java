package org.wigeonferry.decisions;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.wigeonferry.core_types.AdmissionRule;
import org.wigeonferry.core_types.AdmissionState;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.Refusal;
import org.wigeonferry.core_types.StartOrder;
import org.wigeonferry.core_types.Upstream;
import org.wigeonferry.core_types.UpstreamId;

/**
 * Decides whether an attempt may start on the agent's upstream, and tracks the admitted attempts.
 *
 * <p>Invariants: every admitted attempt is counted until it ends, even if its engine crashed in the
 * meantime, since its request may still reach the restarted engine; a refused attempt is never
 * counted. Not thread safe; owned by the control thread.
 */
public final class AttemptAdmission {
    private final UpstreamId upstreamId;
    private final List<AdmissionRule> rules;
    private final ColdStartRamp ramp;
    private final SuspectRegister suspects;
    private final Map<String, RunningAttempt> runningByAttemptKey = new HashMap<>();
    private final Set<String> attemptKeysFromBeforeCrash = new HashSet<>();

    /** Admits attempts to the given upstream if none of the rules refuses them. */
    public AttemptAdmission(
            UpstreamId upstreamId,
            List<AdmissionRule> rules,
            ColdStartRamp ramp,
            SuspectRegister suspects) {
        this.upstreamId = upstreamId;
        this.rules = List.copyOf(rules);
        this.ramp = ramp;
        this.suspects = suspects;
    }

    /**
     * Admits the attempt and returns empty, or returns the refusal of the first rule that refuses.
     */
    public Optional<Refusal> admit(StartOrder order, AdmissionInputs inputs, long nowNanos) {
        AdmissionState state = buildState(inputs, nowNanos);
        Optional<Refusal> refusal =
                rules.stream().flatMap(rule -> rule.check(order, state).stream()).findFirst();
        if (refusal.isEmpty()) {
            // The answer's position is 0 until registerAnswerPosition sets its supplier.
            runningByAttemptKey.put(order.attemptKey(), new RunningAttempt(order, () -> 0));
            recordCrashSeenByEntry(order, nowNanos);
        }
        return refusal;
    }

    /**
     * Records an upstream crash that the entry saw. Without it this agent would take the next crash
     * for the first, and would not identify the request as poison.
     */
    private void recordCrashSeenByEntry(StartOrder order, long nowNanos) {
        if (order.suspected()) {
            suspects.merge(
                    new Suspicion(
                            order.requestDigest(),
                            /* poison= */ false,
                            order.answerBytesAtCrash(),
                            /* crashes= */ 1,
                            nowNanos));
        }
    }

    /**
     * Registers the supplier of the number of answer bytes that an admitted attempt has produced.
     */
    public void registerAnswerPosition(StartOrder order, LongSupplier answerPosition) {
        runningByAttemptKey.computeIfPresent(
                order.attemptKey(), (key, running) -> new RunningAttempt(order, answerPosition));
    }

    /**
     * Records the first token of an attempt. Ignores attempts that were admitted before the last
     * engine crash, since their tokens say nothing about the restarted engine.
     */
    public void onFirstToken(StartOrder order, Duration latency, long nowNanos) {
        if (isInFlightSinceLastCrash(order)) {
            ramp.onFirstToken(latency, inFlightCount(), nowNanos);
        }
    }

    /** Records that an admitted attempt ended with a complete answer. */
    public void onAttemptFinished(StartOrder order) {
        attemptKeysFromBeforeCrash.remove(order.attemptKey());
        if (runningByAttemptKey.remove(order.attemptKey()) != null) {
            suspects.onRequestFinished(order.requestDigest());
        }
    }

    /** Records that an admitted attempt ended before the engine gave a complete answer. */
    public void onAttemptCancelled(StartOrder order) {
        attemptKeysFromBeforeCrash.remove(order.attemptKey());
        runningByAttemptKey.remove(order.attemptKey());
    }

    /** Records that the upstream crashed; returns the resulting suspicions of its requests. */
    public List<Suspicion> onUpstreamCrash(long nowNanos) {
        ramp.onColdStart(nowNanos);
        List<LostRequest> requests =
                runningByAttemptKey.values().stream().map(RunningAttempt::toLostRequest).toList();
        attemptKeysFromBeforeCrash.addAll(runningByAttemptKey.keySet());
        runningByAttemptKey.clear();
        return suspects.onCrash(requests, nowNanos);
    }

    /** Tells whether an attempt is in flight and was admitted after the last upstream crash. */
    public boolean isInFlightSinceLastCrash(StartOrder order) {
        return runningByAttemptKey.containsKey(order.attemptKey());
    }

    /** Returns the number of attempts that were admitted and have not ended. */
    public int inFlightCount() {
        return runningByAttemptKey.size() + attemptKeysFromBeforeCrash.size();
    }

    /** Builds the rules' input; also adopts the upstream's configured maximum for the ramp. */
    private AdmissionState buildState(AdmissionInputs inputs, long nowNanos) {
        Catalog catalog = inputs.catalog();
        Optional<Upstream> upstream = catalog.upstream(upstreamId);
        upstream.ifPresent(value -> ramp.setMaxLimit(value.maxConcurrentAttempts()));
        return AdmissionState.builder()
                .catalog(catalog)
                .upstream(upstream)
                .configUpToDate(inputs.configUpToDate())
                .stopping(inputs.stopping())
                .hostDraining(inputs.hostDraining())
                .attemptsInFlight(inFlightCount())
                .concurrencyLimit(ramp.currentLimit(nowNanos))
                .suspectedRequestInFlight(anySuspectedInFlight(nowNanos))
                .isPoison(digest -> suspects.isPoison(digest, nowNanos))
                .isSuspected(digest -> suspects.isSuspected(digest, nowNanos))
                .build();
    }

    private boolean anySuspectedInFlight(long nowNanos) {
        return runningByAttemptKey.values().stream()
                .map(RunningAttempt::order)
                .anyMatch(
                        order ->
                                order.suspected()
                                        || suspects.isSuspected(order.requestDigest(), nowNanos));
    }
}
