package org.wigeonferry.routing;

import java.util.ArrayList;
import java.util.List;

/**
 * The upstreams that are compared for one job: all that a rule allows, or a part of them if there
 * are very many.
 *
 * <p>The part consists of neighbors in the common order, half of them from a position that depends
 * on the shared prompt part, so that routers find the upstreams that have it cached, and half from
 * one that depends on the request. Invariant: at most {@link #MAX_OWN_ZONE} and {@link
 * #MAX_OTHER_ZONES} upstreams. Used for one decision on the control thread.
 */
final class CandidateSample {
    /** Bounds the time of a decision where a service has more than a thousand upstreams. */
    static final int MAX_OWN_ZONE = 24;

    static final int MAX_OTHER_ZONES = 32;

    /**
     * Upstreams of other zones that are compared if {@link #MAX_OWN_ZONE} of the own zone may be
     * used.
     */
    static final int OTHER_ZONES_IF_OWN_SUFFICES = 4;

    private final Job job;
    private final UpstreamRule rule;
    private final long nowNanos;
    private final List<UpstreamState> usable = new ArrayList<>(MAX_OWN_ZONE + MAX_OTHER_ZONES);
    private final List<UpstreamState> suspended = new ArrayList<>();
    private final int usableInOwnZone;
    private final int suspendedInOwnZone;

    CandidateSample(ServiceCandidates candidates, Job job, UpstreamRule rule, long nowNanos) {
        this.job = job;
        this.rule = rule;
        this.nowNanos = nowNanos;
        collect(candidates.ownZone(), MAX_OWN_ZONE);
        usableInOwnZone = usable.size();
        suspendedInOwnZone = suspended.size();
        boolean ownSuffices = usableInOwnZone >= MAX_OWN_ZONE;
        collect(
                candidates.otherZones(),
                ownSuffices ? OTHER_ZONES_IF_OWN_SUFFICES : MAX_OTHER_ZONES);
    }

    /** Those in the own zone, then the others; suspended ones only if all are suspended. */
    List<UpstreamState> upstreams() {
        return usable.isEmpty() ? suspended : usable;
    }

    /** How many of {@link #upstreams} are in the own zone; they come first. */
    int inOwnZone() {
        return usable.isEmpty() ? suspendedInOwnZone : usableInOwnZone;
    }

    private void collect(List<UpstreamState> states, int max) {
        if (states.size() <= max) {
            collectFrom(states, 0, max);
            return;
        }
        int requestHash = job.request().id().hashCode();
        int sharedHash =
                job.request().sharedPart().map(part -> part.id().hashCode()).orElse(~requestHash);
        collectFrom(states, sharedHash, max / 2);
        collectFrom(states, requestHash, max / 2);
    }

    private void collectFrom(List<UpstreamState> states, int hash, int max) {
        int size = states.size();
        if (size == 0) {
            return;
        }
        int start = Math.floorMod(Hashes.mixBits(hash), size);
        int added = 0;
        for (int i = 0; i < size && added < max; i++) {
            int position = start + i;
            UpstreamState state = states.get(position < size ? position : position - size);
            if (!rule.allows(state, job, nowNanos)) {
                continue;
            }
            if (!state.isSuspended(nowNanos)) {
                usable.add(state);
                added++;
            } else if (suspended.size() < MAX_OWN_ZONE) {
                suspended.add(state);
            }
        }
    }
}
