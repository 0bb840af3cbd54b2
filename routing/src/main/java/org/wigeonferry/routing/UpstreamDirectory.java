package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Stream;
import org.wigeonferry.routing.prediction.ServiceSpeed;

/**
 * The known upstreams.
 *
 * <p>Invariant: at most one incarnation per id. Upstreams whose registration disappears during the
 * grace period after an outage of the store are removed only when the period ends, since upstreams
 * that still run register again before. Owned by the control thread.
 */
public final class UpstreamDirectory {
    private final Duration gracePeriod;
    private final Function<String, Optional<ServiceTraits>> traits;
    private final Map<String, UpstreamState> upstreamStates = new HashMap<>();
    private final Map<String, Long> removalNanosById = new HashMap<>();

    /** Also of upstreams that are gone, for a while. */
    private final Map<String, UpstreamHistory> histories = new HashMap<>();

    private final RestoredRegistrations restored = new RestoredRegistrations();
    private final UpstreamNotices notices = new UpstreamNotices();
    private final EnginePartition enginePartition = new EnginePartition();
    private boolean enginePartitionCurrent;
    private final Map<String, ServiceSpeed> serviceSpeeds = new HashMap<>();
    private long membershipChanges;
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

    /** Records that the store has come back from an older copy, whose rows are read next. */
    public void onStoreRestored(long nowNanos) {
        restored.onStoreRestored(nowNanos);
    }

    /** Records that all rows of upstreams have been read. */
    public void onAllRead() {
        restored.onAllRead();
    }

    /** Applies changed service traits to all upstreams. */
    void onConfigChange() {
        upstreamStates
                .values()
                .forEach(state -> state.setServiceTraits(serviceTraits(state.instance())));
        enginePartitionCurrent = false;
    }

    /** Records a prompt that another router sent to an upstream, if it is known. */
    public void recordPeerPrompt(SentPrompt prompt) {
        statesWithKey(prompt.upstreamKey())
                .forEach(state -> state.recordPrompt(prompt.model(), prompt.parts()));
    }

    /** Records that another router has lost its connections to an upstream, if it is known. */
    public void recordPeerLoss(int upstreamKey, long nowNanos) {
        statesWithKey(upstreamKey).forEach(state -> state.onPeerLoss(nowNanos));
    }

    /** The keys of upstreams that have probably ended, by this router's losses; each once. */
    public List<Integer> takeLostUpstreams() {
        return upstreamStates.values().stream()
                .filter(UpstreamState::takeProbableEnd)
                .map(UpstreamState::key)
                .toList();
    }

    /** Records the loads that another router received from upstreams that are known. */
    public void recordForwardedLoads(Collection<AgedLoad> loads, long nowNanos) {
        if (loads.isEmpty()) {
            return;
        }
        Map<Integer, AgedLoad> byKey = new HashMap<>();
        loads.forEach(load -> byKey.put(load.upstreamKey(), load));
        for (UpstreamState state : upstreamStates.values()) {
            AgedLoad load = byKey.get(state.key());
            if (load != null) {
                state.onForwardedLoad(load.load(), nowNanos - load.age().toNanos(), nowNanos);
            }
        }
    }

    /** The typical speed of a service's upstreams. */
    ServiceSpeed serviceSpeed(String service) {
        return serviceSpeeds.computeIfAbsent(service, key -> new ServiceSpeed());
    }

    /** What this router has under way, by upstream. */
    List<OwnLoad> ownLoads() {
        return upstreamStates.values().stream()
                .filter(state -> state.runningSends() > 0)
                .map(UpstreamState::ownLoad)
                .toList();
    }

    /** Rises each time an incarnation is added or removed. */
    long membershipChanges() {
        return membershipChanges;
    }

    private Stream<UpstreamState> statesWithKey(int key) {
        return upstreamStates.values().stream().filter(state -> state.key() == key);
    }

    /**
     * Adds an upstream, or updates a known one; a new incarnation replaces the old one.
     *
     * @return false, with no change, if the registration is an old one: of an incarnation that was
     *     just replaced by another one, that is draining, or that was gone before the store came
     *     back from an older copy
     */
    public boolean put(UpstreamInstance upstream, long nowNanos) {
        UpstreamHistory history =
                histories.computeIfAbsent(upstream.id(), id -> new UpstreamHistory(nowNanos));
        boolean isDraining =
                upstream(upstream.id())
                        .filter(UpstreamInstance::draining)
                        .filter(known -> known.incarnation().equals(upstream.incarnation()))
                        .isPresent();
        if (isDraining && !upstream.draining()) {
            return false;
        }
        if (history.isGone(upstream.incarnation()) && restored.holdBack(upstream)) {
            return false;
        }
        if (!history.register(upstream.incarnation(), nowNanos)) {
            return false;
        }
        restored.remove(upstream.id());
        UpstreamState state = upstreamStates.get(upstream.id());
        removalNanosById.remove(upstream.id());
        if (state == null || !state.instance().incarnation().equals(upstream.incarnation())) {
            upstreamStates.put(upstream.id(), newState(upstream, history, nowNanos));
            membershipChanges++;
            notices.onIncarnation(upstream.incarnation());
            enginePartitionCurrent = false;
            return true;
        }
        enginePartitionCurrent &= state.instance().draining() == upstream.draining();
        state.updateInstance(upstream, nowNanos);
        return true;
    }

    /** Removes an upstream, either now or at the end of a grace period that has begun. */
    public void remove(String id, long nowNanos) {
        restored.remove(id);
        if (storeRecovered && graceEndNanos - nowNanos > 0) {
            removalNanosById.put(id, graceEndNanos);
            return;
        }
        removeNow(id, nowNanos);
    }

    private void removeNow(String id, long nowNanos) {
        upstreamStates.remove(id);
        membershipChanges++;
        enginePartitionCurrent = false;
        Optional.ofNullable(histories.get(id)).ifPresent(history -> history.remove(nowNanos));
    }

    /**
     * Removes the upstreams whose removal was put off, if their grace period is over, and adds
     * those whose registration is no longer held back.
     */
    public void removeExpired(long nowNanos) {
        restored.takeExpired(nowNanos).forEach(upstream -> put(upstream, nowNanos));
        histories
                .entrySet()
                .removeIf(
                        entry ->
                                !upstreamStates.containsKey(entry.getKey())
                                        && entry.getValue().isObsolete(nowNanos));
        removalNanosById
                .entrySet()
                .removeIf(
                        entry -> {
                            boolean expired = entry.getValue() - nowNanos <= 0;
                            if (expired) {
                                removeNow(entry.getKey(), nowNanos);
                            }
                            return expired;
                        });
    }

    /** The ids of all known upstreams. */
    public Collection<String> ids() {
        return List.copyOf(upstreamStates.keySet());
    }

    /** The upstream with an id, if it is known. */
    public Optional<UpstreamInstance> upstream(String id) {
        return Optional.ofNullable(upstreamStates.get(id)).map(UpstreamState::instance);
    }

    /** The assignment of engines to large and small models, updated if upstreams changed. */
    EnginePartition enginePartition() {
        if (!enginePartitionCurrent) {
            enginePartition.assignUpstreams(upstreamStates.values());
            enginePartitionCurrent = true;
        }
        return enginePartition;
    }

    Collection<UpstreamState> upstreamStates() {
        return upstreamStates.values();
    }

    Optional<UpstreamState> state(Incarnation incarnation) {
        return Optional.ofNullable(upstreamStates.get(incarnation.id()))
                .filter(state -> state.instance().incarnation().equals(incarnation));
    }

    /** What upstreams have said of themselves. */
    public UpstreamNotices notices() {
        return notices;
    }

    /** Time until a service's first upstream that wants no requests now may be used, if any. */
    Optional<Duration> soonestReturn(String service, LiveRouters routers, long nowNanos) {
        return notices.soonestReturn(
                upstreamStates.values().stream()
                        .filter(state -> state.instance().service().equals(service))
                        .toList(),
                routers,
                nowNanos);
    }

    /** Requests that an upstream ran when it last told so, or else those of this router. */
    int runningRequests(UpstreamInstance upstream) {
        return state(upstream.incarnation()).map(UpstreamState::lastKnownRunning).orElse(0);
    }

    private UpstreamState newState(
            UpstreamInstance upstream, UpstreamHistory history, long nowNanos) {
        UpstreamState state =
                new UpstreamState(upstream, history, serviceSpeed(upstream.service()), nowNanos);
        state.setServiceTraits(serviceTraits(upstream));
        return state;
    }

    private Optional<ServiceTraits> serviceTraits(UpstreamInstance upstream) {
        return traits.apply(upstream.service());
    }
}
