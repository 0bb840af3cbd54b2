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
 * The last gate before an attempt starts on an upstream.
 *
 * <p>Invariants: every admitted attempt is counted until it ends, also after a loss of the engine,
 * since its request may still be on the way to the engine that came back; an attempt that was
 * refused is never counted. Not thread safe; owned by the control thread.
 */
public final class AttemptAdmission {
    private final UpstreamId self;
    private final List<AdmissionRule> rules;
    private final ColdStartRamp ramp;
    private final SuspectRegister suspects;
    private final Map<String, RunningAttempt> inFlight = new HashMap<>();
    private final Set<String> lost = new HashSet<>();

    /** Guards the upstream by the rules. */
    public AttemptAdmission(
            UpstreamId self,
            List<AdmissionRule> rules,
            ColdStartRamp ramp,
            SuspectRegister suspects) {
        this.self = self;
        this.rules = List.copyOf(rules);
        this.ramp = ramp;
        this.suspects = suspects;
    }

    /** Admits the attempt, or says why it is not run. */
    public Optional<Refusal> admit(StartOrder order, AdmissionInputs situation, long nowNanos) {
        AdmissionState view = view(situation, nowNanos);
        Optional<Refusal> refusal =
                rules.stream().flatMap(rule -> rule.check(order, view).stream()).findFirst();
        if (refusal.isEmpty()) {
            inFlight.put(order.attemptKey(), new RunningAttempt(order, () -> 0));
            noteSendersSuspicion(order, nowNanos);
        }
        return refusal;
    }

    /** A crash that the sender saw counts here too, or a second one would not name its cause. */
    private void noteSendersSuspicion(StartOrder order, long nowNanos) {
        if (order.suspected()) {
            suspects.merge(
                    new Suspicion(
                            order.requestDigest(), false, order.answerBytesAtCrash(), 1, nowNanos));
        }
    }

    /** Tells where to read how far the answer of an admitted attempt has come. */
    public void registerAnswerPosition(StartOrder order, LongSupplier position) {
        inFlight.computeIfPresent(
                order.attemptKey(), (key, running) -> new RunningAttempt(order, position));
    }

    /** Notes the first token of an attempt; one of before a loss says nothing of the engine. */
    public void onFirstToken(StartOrder order, Duration latency, long nowNanos) {
        if (isInFlight(order)) {
            ramp.onFirstToken(latency, inFlightCount(), nowNanos);
        }
    }

    /** Notes that an admitted attempt ended with a whole answer. */
    public void onAttemptFinished(StartOrder order) {
        lost.remove(order.attemptKey());
        if (inFlight.remove(order.attemptKey()) != null) {
            suspects.onRequestFinished(order.requestDigest());
        }
    }

    /** Notes that an admitted attempt ended before the engine gave a whole answer. */
    public void onAttemptCancelled(StartOrder order) {
        lost.remove(order.attemptKey());
        inFlight.remove(order.attemptKey());
    }

    /** Notes that the engine was lost; returns the suspicions that follow. */
    public List<Suspicion> onEngineLost(long nowNanos) {
        ramp.onColdStart(nowNanos);
        List<LostRequest> requests =
                inFlight.values().stream().map(RunningAttempt::toLostRequest).toList();
        lost.addAll(inFlight.keySet());
        inFlight.clear();
        return suspects.onCrash(requests, nowNanos);
    }

    /** Tells whether an attempt is in flight on the engine as it runs now. */
    public boolean isInFlight(StartOrder order) {
        return inFlight.containsKey(order.attemptKey());
    }

    /** Number of attempts admitted and not ended. */
    public int inFlightCount() {
        return inFlight.size() + lost.size();
    }

    private AdmissionState view(AdmissionInputs situation, long nowNanos) {
        Catalog catalog = situation.catalog();
        Optional<Upstream> upstream = catalog.upstream(self);
        upstream.ifPresent(value -> ramp.setMaxLimit(value.maxConcurrentAttempts()));
        return AdmissionState.builder()
                .catalog(catalog)
                .upstream(upstream)
                .configUpToDate(situation.configUpToDate())
                .stopping(situation.stopping())
                .hostDraining(situation.hostDraining())
                .inFlight(inFlightCount())
                .concurrencyLimit(ramp.currentLimit(nowNanos))
                .suspectInFlight(suspectInFlight(nowNanos))
                .isPoison(digest -> suspects.isPoison(digest, nowNanos))
                .isSuspected(digest -> suspects.isSuspected(digest, nowNanos))
                .build();
    }

    private boolean suspectInFlight(long nowNanos) {
        return inFlight.values().stream()
                .map(RunningAttempt::order)
                .anyMatch(o -> o.suspected() || suspects.isSuspected(o.requestDigest(), nowNanos));
    }
}
