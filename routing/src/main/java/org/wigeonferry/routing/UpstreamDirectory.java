package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * The known upstreams.
 *
 * <p>Invariant: at most one incarnation per id. Upstreams whose registration disappears during the
 * grace period after an outage of the store are kept until its end, since running ones register
 * again within it. Owned by the control thread.
 */
public final class UpstreamDirectory {
    private final Duration gracePeriod;
    private final Function<String, Optional<ServiceTraits>> traits;
    private final Map<String, UpstreamState> states = new HashMap<>();
    private final Map<String, Long> removalNanosById = new HashMap<>();
    private final EnginePartition enginePartition = new EnginePartition();
    private boolean enginePartitionCurrent;
    private long graceEndNanos;
    private boolean storeRecovered;

    UpstreamDirectory(Duration gracePeriod, Function<String, Optional<ServiceTraits>> traits) {
        this.gracePeriod = gracePeriod;
        this.traits = traits;
    }

    /** Starts the grace period, as the store answers again after an outage. */
    public void onStoreRecovered(long nowNanos) {
        storeRecovered = true;
        graceEndNanos = nowNanos + gracePeriod.toNanos();
    }

    /** Applies changed service traits to all upstreams. */
    void onConfigChange() {
        states.values().forEach(state -> state.setEngineTraits(engineTraits(state.instance())));
        enginePartitionCurrent = false;
    }

    /** Adds an upstream, or updates a known one; a new incarnation replaces the old one. */
    public void put(UpstreamInstance upstream, long nowNanos) {
        UpstreamState state = states.get(upstream.id());
        removalNanosById.remove(upstream.id());
        if (state == null || !state.instance().incarnation().equals(upstream.incarnation())) {
            states.put(upstream.id(), newState(upstream, nowNanos));
            enginePartitionCurrent = false;
            return;
        }
        enginePartitionCurrent &= state.instance().draining() == upstream.draining();
        state.updateInstance(upstream, nowNanos);
    }

    /** Removes an upstream, either now or at the end of a grace period that has begun. */
    public void remove(String id, long nowNanos) {
        if (storeRecovered && graceEndNanos - nowNanos > 0) {
            removalNanosById.put(id, graceEndNanos);
            return;
        }
        states.remove(id);
        enginePartitionCurrent = false;
    }

    /** Removes the upstreams whose removal was put off, if their grace period is over. */
    public void removeExpired(long nowNanos) {
        removalNanosById
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean expired = entry.getValue() - nowNanos <= 0;
                            if (expired) {
                                states.remove(entry.getKey());
                                enginePartitionCurrent = false;
                            }
                            return expired;
                        });
    }

    /** The ids of all known upstreams. */
    public Collection<String> ids() {
        return List.copyOf(states.keySet());
    }

    /** The upstream with an id, if it is known. */
    public Optional<UpstreamInstance> upstream(String id) {
        return Optional.ofNullable(states.get(id)).map(UpstreamState::instance);
    }

    /** The assignment of engines to large and small models, updated if upstreams changed. */
    EnginePartition enginePartition() {
        if (!enginePartitionCurrent) {
            enginePartition.assignUpstreams(states.values());
            enginePartitionCurrent = true;
        }
        return enginePartition;
    }

    Collection<UpstreamState> states() {
        return states.values();
    }

    Optional<UpstreamState> state(Incarnation incarnation) {
        return Optional.ofNullable(states.get(incarnation.id()))
                .filter(state -> state.instance().incarnation().equals(incarnation));
    }

    private UpstreamState newState(UpstreamInstance upstream, long nowNanos) {
        UpstreamState state = new UpstreamState(upstream, nowNanos);
        state.setEngineTraits(engineTraits(upstream));
        return state;
    }

    private Optional<EngineTraits> engineTraits(UpstreamInstance upstream) {
        return traits.apply(upstream.service()).flatMap(ServiceTraits::engine);
    }
}
