package org.wigeonferry.routing;

import java.util.List;
import java.util.Optional;

/**
 * Decides which release serves a job while its service is being rolled out.
 *
 * <p>Invariant: until all that the store holds of roll-outs has been read, no request goes to a new
 * release that may still be rolled back. Owned by the control thread.
 */
final class ReleaseRules {
    /**
     * Fraction of a roll-out's duration before which no session moves to the new release. Sessions
     * must not move in the first half, and another router may just have served the session on the
     * old release, so this is slightly above one half.
     */
    private static final double MIN_ELAPSED_TO_MOVE_SESSIONS = 0.52;

    /**
     * Share of sessions selected to move, as a multiple of the exposure share. Above 1, so that the
     * second half makes up for the first, in which no session moves.
     */
    private static final double SELECTED_SESSIONS_FACTOR = 1.5;

    private final RoutingLimits limits;
    private final RollOutRecord record;
    private final ReleaseEvidenceLog evidence;
    private final SessionPins pins;

    ReleaseRules(
            RoutingLimits limits,
            RollOutRecord record,
            ReleaseEvidenceLog evidence,
            SessionPins pins) {
        this.limits = limits;
        this.record = record;
        this.evidence = evidence;
        this.pins = pins;
    }

    /**
     * Rules for a job's upstream in order of preference; a rule applies only if no upstream meets
     * an earlier one.
     *
     * @param storedRecordRead whether all that the store holds of roll-outs has been read
     * @param routerCount routers among which the exposure of a new release is divided
     */
    List<UpstreamRule> of(Job job, boolean storedRecordRead, int routerCount, long nowNanos) {
        Optional<RollOut> newest = record.order(job.service());
        if (newest.isEmpty()) {
            return rulesWithoutOrder(job.service());
        }
        RollOut order = newest.get();
        String newRelease = order.release();
        UpstreamRule onlyNew = UpstreamRules.ofRelease(newRelease);
        UpstreamRule onlyOld = UpstreamRules.notOfRelease(newRelease);
        Optional<RollOutState> state = record.state(order);
        if (state.equals(Optional.of(RollOutState.COMPLETED))) {
            return List.of(onlyNew, onlyOld);
        }
        if (!storedRecordRead
                || state.equals(Optional.of(RollOutState.ROLLED_BACK))
                || RollOutCriteria.mustRollBack(evidence.total(order))) {
            return List.of(onlyOld);
        }
        Optional<TrafficMove> move = record.moveOf(order);
        // Only sessions move early: a request without one needs no cached prompt.
        boolean moves = move.isPresent() && job.sessionId().isPresent();
        if (!moves && !mayExposeMore(order, routerCount, nowNanos)) {
            return List.of(onlyOld);
        }
        Optional<String> pinned =
                job.sessionId()
                        .flatMap(session -> pins.releaseOf(job.service(), session, nowNanos));
        // Requests without a session can't meet both releases in one.
        if (job.sessionId().isEmpty()) {
            return LoadPulses.isOn(order, limits.exposureShare(), nowNanos)
                    ? List.of(onlyNew, onlyOld)
                    : List.of(onlyOld, onlyNew);
        }
        boolean mayMove =
                move.isPresent()
                        || elapsedFraction(order, nowNanos) >= MIN_ELAPSED_TO_MOVE_SESSIONS;
        if (pinned.filter(newRelease::equals).isPresent()
                || (mayMove && isSelectedToMove(order, move, job, nowNanos))) {
            return List.of(onlyNew, onlyOld);
        }
        return mayMove || pinned.isEmpty() ? List.of(onlyOld, onlyNew) : List.of(onlyOld);
    }

    /**
     * The upstreams of a release that was rolled back may still be there when its order is gone.
     */
    private List<UpstreamRule> rulesWithoutOrder(String service) {
        UpstreamRule any = (upstream, j, t) -> true;
        Optional<String> rolledBack = record.rolledBackRelease(service);
        if (rolledBack.isEmpty()) {
            return List.of(any);
        }
        return List.of(UpstreamRules.notOfRelease(rolledBack.get()), any);
    }

    /** Selects by hash, so that all routers that a session may reach agree. */
    private boolean isSelectedToMove(
            RollOut order, Optional<TrafficMove> move, Job job, long nowNanos) {
        String name = job.sessionId().orElse(job.request().id());
        double movedShare =
                move.map(m -> TrafficMoveSchedule.movedShare(order, m, nowNanos)).orElse(0.0);
        return Hashes.fraction(name + '#' + order.release())
                < Math.max(movedShare, SELECTED_SESSIONS_FACTOR * limits.exposureShare());
    }

    /** Whether this router may send more requests to the new release before the move. */
    private boolean mayExposeMore(RollOut order, int routerCount, long nowNanos) {
        if (elapsedFraction(order, nowNanos) >= 1) {
            return false;
        }
        RollOutEvidence own = evidence.own(order.service());
        return own.fresh().sends()
                < limits.exposureShare() * own.sends() + limits.extraExposedSends() / routerCount;
    }

    private static double elapsedFraction(RollOut order, long nowNanos) {
        return (double) order.elapsed(nowNanos).toNanos() / order.duration().toNanos();
    }
}
