package org.wigeonferry.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Counts the sends and answers of the releases in roll-outs, here and at the other routers.
 *
 * <p>Streams that still run count with their gaps so far: the slow ones of a release end last, and
 * those that end by the deadline were never answered.
 *
 * <p>Invariants: evidence of a router counts only for the order that it was collected under; it
 * never shrinks while that order is the newest. Owned by the control thread.
 */
final class ReleaseEvidenceLog {
    private static final double MILLIONTHS_PER_UNIT = 1_000_000;

    /**
     * Ratio of the time between events to the typical one from which an answer counts as failed.
     */
    private static final double SLOW_GAP_RATIO = 3;

    /** New upstreams are slow at first. */
    private static final Duration NEW_RELEASE_WARM_UP = Duration.ofSeconds(5);

    private static final ReleaseEvidence FAILURE = new ReleaseEvidence(0, 0, 1, 0, 0, 0, 0);

    private final Map<String, RollOutEvidence> ownEvidence = new HashMap<>();

    /** What this router had reported before it was restarted, by service. */
    private final Map<String, RollOutEvidence> restoredEvidence = new HashMap<>();

    /** The release that is rolled out, by service. */
    private final Map<String, String> newReleases = new HashMap<>();

    private final TypicalGaps typicalGaps = new TypicalGaps();

    /** Logarithms of the gap ratios of running streams, in millionths; keys are compared by ==. */
    private final Map<Send, Long> runningGapLogs = new IdentityHashMap<>();

    private final Map<String, Map<String, RollOutEvidence>> evidenceByPeer = new HashMap<>();

    /** Starts to count for an order, from zero. */
    void start(RollOut order) {
        forgetRunning(order.service());
        newReleases.put(order.service(), order.release());
        ownEvidence.put(
                order.service(),
                new RollOutEvidence(order.revision(), ReleaseEvidence.NONE, ReleaseEvidence.NONE));
    }

    /** Keeps the evidence of an order that has another revision now. */
    void onOrderRewritten(RollOut before, long revision) {
        List<Map<String, RollOutEvidence>> all = new ArrayList<>(evidenceByPeer.values());
        all.add(ownEvidence);
        all.add(restoredEvidence);
        all.forEach(
                evidenceByService ->
                        evidenceByService.computeIfPresent(
                                before.service(),
                                (service, evidence) ->
                                        evidence.revision() == before.revision()
                                                ? evidence.withRevision(revision)
                                                : evidence));
    }

    /** Drops the own evidence of a service. */
    void remove(String service) {
        forgetRunning(service);
        ownEvidence.remove(service);
    }

    /** Sets what this router had reported before it was restarted. */
    void restoreOwn(Map<String, RollOutEvidence> evidence) {
        restoredEvidence.clear();
        restoredEvidence.putAll(evidence);
    }

    /** Evidence counted by this router in all its incarnations, by service. */
    Map<String, RollOutEvidence> own() {
        Map<String, RollOutEvidence> withRunning = new HashMap<>();
        ownEvidence.keySet().forEach(service -> withRunning.put(service, own(service)));
        return withRunning;
    }

    /**
     * Evidence counted by this router in all its incarnations for a service that is being rolled
     * out.
     */
    RollOutEvidence own(String service) {
        RollOutEvidence sum = ownEvidence.get(service);
        RollOutEvidence restored = restoredEvidence.get(service);
        if (restored != null) {
            sum = sum.plus(restored);
        }
        for (Map.Entry<Send, Long> running : runningGapLogs.entrySet()) {
            Send send = running.getKey();
            if (send.upstream().service().equals(service)) {
                boolean isNew = send.upstream().release().equals(newReleases.get(service));
                sum = plus(sum, isNew, runningEvidence(running.getValue()));
            }
        }
        return sum;
    }

    /**
     * Replaces the evidence reported by another router. A report with fewer sends is an older one,
     * written late.
     */
    void applyPeer(String router, Map<String, RollOutEvidence> evidence) {
        Map<String, RollOutEvidence> known =
                evidenceByPeer.computeIfAbsent(router, name -> new HashMap<>());
        evidence.forEach(
                (service, reported) -> known.merge(service, reported, ReleaseEvidenceLog::later));
    }

    private static RollOutEvidence later(RollOutEvidence known, RollOutEvidence reported) {
        boolean older = known.revision() == reported.revision() && reported.sends() < known.sends();
        return older ? known : reported;
    }

    /**
     * Drops what other routers reported for orders that are no longer the newest, so that it does
     * not grow with each router that was ever alive.
     */
    void retainOrders(Set<Long> revisions) {
        evidenceByPeer
                .values()
                .removeIf(
                        evidence ->
                                evidence.values().stream()
                                        .noneMatch(e -> revisions.contains(e.revision())));
    }

    /** Evidence of a known order, summed over this router and the others. */
    RollOutEvidence total(RollOut order) {
        RollOutEvidence sum = own(order.service());
        for (Map<String, RollOutEvidence> evidenceByService : evidenceByPeer.values()) {
            RollOutEvidence other = evidenceByService.get(order.service());
            if (other != null) {
                sum = sum.plus(other);
            }
        }
        return sum;
    }

    /** Counts a send. */
    void onSend(Send send, Optional<RollOut> order) {
        add(send, order, new ReleaseEvidence(1, 0, 0, 0, 0, 0, 0));
    }

    /**
     * Records the mean gap so far between the events of a running stream.
     *
     * @param running requests that its upstream runs
     */
    void onStreamProgress(Send send, Duration gap, int running, Optional<RollOut> order) {
        if (isWarm(send, order) && ownEvidence.containsKey(send.upstream().service())) {
            gapLogMillionths(send, gap, running).ifPresent(log -> runningGapLogs.put(send, log));
        }
    }

    /**
     * Counts the outcome of a send.
     *
     * @param firstAttemptOf the kind of request, if the send was the first of its request
     * @param running requests that its upstream ran
     */
    void onSendEnd(
            SendReport report,
            Optional<RequestKind> firstAttemptOf,
            int running,
            Optional<RollOut> order) {
        Send send = report.send();
        runningGapLogs.remove(send);
        Optional<Long> gapLog =
                report.meanEventGap()
                        .filter(gap -> isWarm(send, order))
                        .flatMap(gap -> gapLogMillionths(send, gap, running));
        if (report.outcome().isFailure() || gapLog.filter(ReleaseEvidenceLog::isSlow).isPresent()) {
            add(send, order, ofAttempt(FAILURE, firstAttemptOf));
        } else if (report.outcome() == SendOutcome.ANSWERED) {
            add(send, order, ofAttempt(evidenceOfAnswer(report, order), firstAttemptOf));
        }
        gapLog.ifPresent(log -> add(send, order, gapEvidence(log)));
        if (!isNew(send, order)) {
            report.meanEventGap().ifPresent(gap -> typicalGaps.record(send, gap, running));
        }
    }

    private static ReleaseEvidence ofAttempt(
            ReleaseEvidence answer, Optional<RequestKind> firstAttemptOf) {
        return firstAttemptOf.map(answer::ofFirstAttempt).orElse(answer);
    }

    private Optional<Long> gapLogMillionths(Send send, Duration gap, int running) {
        return typicalGaps
                .logRatio(send, gap, running)
                .map(logRatio -> Math.round(MILLIONTHS_PER_UNIT * logRatio));
    }

    private static boolean isSlow(long gapLogMillionths) {
        return gapLogMillionths >= MILLIONTHS_PER_UNIT * Math.log(SLOW_GAP_RATIO);
    }

    private static ReleaseEvidence gapEvidence(long gapLogMillionths) {
        return new ReleaseEvidence(0, 0, 0, 0, 0, gapLogMillionths, 1);
    }

    private static ReleaseEvidence runningEvidence(long gapLogMillionths) {
        return gapEvidence(gapLogMillionths)
                .plus(new ReleaseEvidence(0, 0, isSlow(gapLogMillionths) ? 1 : 0, 0, 0, 0, 0));
    }

    private static ReleaseEvidence evidenceOfAnswer(SendReport report, Optional<RollOut> order) {
        if (!isWarm(report.send(), order) || report.timeToFirstByte().isEmpty()) {
            return new ReleaseEvidence(0, 1, 0, 0, 0, 0, 0);
        }
        long ratioMillionths =
                Math.round(
                        MILLIONTHS_PER_UNIT
                                * Slowness.ratioToExpectedTime(
                                        report.timeToFirstByte().get(), report.send()));
        return new ReleaseEvidence(0, 1, 0, 1, ratioMillionths, 0, 0);
    }

    /**
     * Whether a send started more than {@link #NEW_RELEASE_WARM_UP} after the order, so that its
     * times count, on either release.
     */
    private static boolean isWarm(Send send, Optional<RollOut> order) {
        return order.isPresent()
                && send.startNanos() - order.get().startNanos() > NEW_RELEASE_WARM_UP.toNanos();
    }

    private static boolean isNew(Send send, Optional<RollOut> order) {
        return order.filter(o -> send.upstream().release().equals(o.release())).isPresent();
    }

    private void forgetRunning(String service) {
        runningGapLogs.keySet().removeIf(send -> send.upstream().service().equals(service));
    }

    private void add(Send send, Optional<RollOut> order, ReleaseEvidence more) {
        String service = send.upstream().service();
        RollOutEvidence evidence = ownEvidence.get(service);
        if (evidence == null || order.isEmpty()) {
            return;
        }
        ownEvidence.put(service, plus(evidence, isNew(send, order), more));
    }

    private static RollOutEvidence plus(
            RollOutEvidence evidence, boolean isNew, ReleaseEvidence more) {
        return new RollOutEvidence(
                evidence.revision(),
                isNew ? evidence.fresh().plus(more) : evidence.fresh(),
                isNew ? evidence.old() : evidence.old().plus(more));
    }
}
