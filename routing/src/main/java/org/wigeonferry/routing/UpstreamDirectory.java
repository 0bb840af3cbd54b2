package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * The upstreams that may be used.
 *
 * <p>Invariant: at most one incarnation an id. Entries that vanish just after an outage of the
 * store are kept for a grace time, since a living upstream comes back within it. Owned by the
 * control thread.
 */
public final class UpstreamDirectory {
    private final Duration lapseGrace;
    private final Function<String, Optional<ServiceTraits>> traits;
    private final Map<String, UpstreamState> states = new HashMap<>();
    private final Map<String, Long> lapsing = new HashMap<>();
    private final EnginePartition engineShares = new EnginePartition();
    private boolean divided;
    private long graceUntilNanos;
    private boolean inGrace;

    UpstreamDirectory(Duration lapseGrace, Function<String, Optional<ServiceTraits>> traits) {
        this.lapseGrace = lapseGrace;
        this.traits = traits;
    }

    /** Notes that the store answers again after an outage. */
    public void onStoreRecovered(long now) {
        inGrace = true;
        graceUntilNanos = now + lapseGrace.toNanos();
    }

    /** Takes a change of what is known of the services. */
    void onConfigChange() {
        states.values().forEach(state -> state.setEngineTraits(engine(state.instance())));
        divided = false;
    }

    /** Takes an upstream's description. */
    public void put(UpstreamInstance upstream, long now) {
        UpstreamState state = states.get(upstream.id());
        lapsing.remove(upstream.id());
        if (state == null || !state.instance().incarnation().equals(upstream.incarnation())) {
            states.put(upstream.id(), fresh(upstream, now));
            divided = false;
            return;
        }
        divided &= state.instance().draining() == upstream.draining();
        state.updateInstance(upstream, now);
    }

    /** Takes away an upstream. */
    public void remove(String id, long now) {
        if (inGrace && graceUntilNanos - now > 0) {
            lapsing.put(id, graceUntilNanos);
            return;
        }
        states.remove(id);
        divided = false;
    }

    /** Drops upstreams whose grace is over. */
    public void removeExpired(long now) {
        lapsing.entrySet()
                .removeIf(
                        entry -> {
                            boolean over = entry.getValue() - now <= 0;
                            if (over) {
                                states.remove(entry.getKey());
                                divided = false;
                            }
                            return over;
                        });
    }

    /** The ids of all known upstreams. */
    public Collection<String> ids() {
        return List.copyOf(states.keySet());
    }

    /** Describes an upstream. */
    public Optional<UpstreamInstance> upstream(String id) {
        return Optional.ofNullable(states.get(id)).map(UpstreamState::instance);
    }

    /** How the engines are divided between models. */
    EnginePartition engineShares() {
        if (!divided) {
            engineShares.assignUpstreams(states.values());
            divided = true;
        }
        return engineShares;
    }

    Collection<UpstreamState> states() {
        return states.values();
    }

    Optional<UpstreamState> state(Incarnation incarnation) {
        return Optional.ofNullable(states.get(incarnation.id()))
                .filter(state -> state.instance().incarnation().equals(incarnation));
    }

    private UpstreamState fresh(UpstreamInstance upstream, long now) {
        UpstreamState state = new UpstreamState(upstream, now);
        state.setEngineTraits(engine(upstream));
        return state;
    }

    private Optional<EngineTraits> engine(UpstreamInstance upstream) {
        return traits.apply(upstream.service()).flatMap(ServiceTraits::engine);
    }
}
