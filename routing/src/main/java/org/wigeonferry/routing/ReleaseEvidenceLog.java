package org.wigeonferry.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Counts the sends and answers of the releases in roll-outs, here and at the other routers.
 *
 * <p>Invariant: evidence of a router counts only for the order that it was collected under. Owned
 * by the control thread.
 */
final class ReleaseEvidenceLog {
    private static final double MILLIONTHS_PER_UNIT = 1_000_000;

    /** New upstreams are slow at first. */
    private static final Duration NEW_RELEASE_WARM_UP = Duration.ofSeconds(5);

    private final Map<String, RollOutEvidence> ownEvidence = new HashMap<>();
    private final Map<String, Map<String, RollOutEvidence>> evidenceByPeer = new HashMap<>();

    /** Starts to count for an order, from zero. */
    void start(RollOut order) {
        ownEvidence.put(
                order.service(),
                new RollOutEvidence(order.revision(), ReleaseEvidence.NONE, ReleaseEvidence.NONE));
    }

    /** Drops the own evidence of a service. */
    void remove(String service) {
        ownEvidence.remove(service);
    }

    /** Evidence counted by this router, by service. */
    Map<String, RollOutEvidence> own() {
        return Map.copyOf(ownEvidence);
    }

    /** Evidence counted by this router for a service that is being rolled out. */
    RollOutEvidence own(String service) {
        return ownEvidence.get(service);
    }

    /** Replaces the evidence reported by another router. */
    void applyPeer(String router, Map<String, RollOutEvidence> evidence) {
        evidenceByPeer.put(router, Map.copyOf(evidence));
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
        RollOutEvidence sum = ownEvidence.get(order.service());
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

    /** Counts the outcome of a send. */
    void onSendEnd(SendReport report, Optional<RollOut> order) {
        if (report.outcome() == SendOutcome.ANSWERED) {
            add(report.send(), order, evidenceOfAnswer(report, order));
        } else if (report.outcome().isFailure()) {
            add(report.send(), order, new ReleaseEvidence(0, 0, 1, 0, 0, 0, 0));
        }
    }

    /**
     * Includes times only of sends that started more than {@link #NEW_RELEASE_WARM_UP} after the
     * order, on either release.
     */
    private static ReleaseEvidence evidenceOfAnswer(SendReport report, Optional<RollOut> order) {
        boolean warm =
                order.isPresent()
                        && report.send().startNanos() - order.get().startNanos()
                                > NEW_RELEASE_WARM_UP.toNanos();
        if (!warm || report.timeToFirstByte().isEmpty()) {
            return new ReleaseEvidence(0, 1, 0, 0, 0, 0, 0);
        }
        long ratioMillionths =
                Math.round(
                        MILLIONTHS_PER_UNIT
                                * Slowness.ratioToExpectedTime(
                                        report.timeToFirstByte().get(), report.send()));
        long gapMicros = report.meanEventGap().map(gap -> gap.toNanos() / 1000).orElse(0L);
        int gaps = report.meanEventGap().isPresent() ? 1 : 0;
        return new ReleaseEvidence(0, 1, 0, 1, ratioMillionths, gapMicros, gaps);
    }

    private void add(Send send, Optional<RollOut> order, ReleaseEvidence more) {
        String service = send.upstream().service();
        RollOutEvidence evidence = ownEvidence.get(service);
        if (evidence == null || order.isEmpty()) {
            return;
        }
        boolean isNew = send.upstream().release().equals(order.get().release());
        ownEvidence.put(
                service,
                new RollOutEvidence(
                        evidence.revision(),
                        isNew ? evidence.fresh().plus(more) : evidence.fresh(),
                        isNew ? evidence.old() : evidence.old().plus(more)));
    }
}
