package org.wigeonferry.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The loads with a pace that upstreams reported to this router and that it has not forwarded yet.
 *
 * <p>Handles the load of tens of routers that each call an upstream less than once a second: what
 * one of them received is forwarded to the others while it is fresh. What was forwarded to this
 * router is not forwarded again. Invariant: one load for each upstream, at most {@link #MAX_LOADS},
 * the oldest are evicted first. Owned by the control thread.
 */
public final class ReceivedLoads {
    /** Bounds the size of a datagram. */
    static final int MAX_LOADS = 64;

    /** Ratio of a pace to the expected one from which the other routers are told at once. */
    private static final double NOTABLE_RATIO = 1.4;

    private final Map<Integer, ReportedLoad> loads = new LinkedHashMap<>();
    private final Map<Integer, Long> receivedNanos = new LinkedHashMap<>();
    private Runnable changeListener = () -> {};

    /** Sets what is called when a pace is received that differs much from the expected one. */
    public void setChangeListener(Runnable listener) {
        changeListener = listener;
    }

    /** Records a load that an upstream reported, before the upstream's state is updated by it. */
    void record(UpstreamState upstream, ReportedLoad load, long nowNanos) {
        if (load.pacePercent().isEmpty()) {
            return;
        }
        int upstreamKey = upstream.key();
        loads.remove(upstreamKey);
        loads.put(upstreamKey, load);
        receivedNanos.put(upstreamKey, nowNanos);
        if (loads.size() > MAX_LOADS) {
            int oldest = loads.keySet().iterator().next();
            loads.remove(oldest);
            receivedNanos.remove(oldest);
        }
        double ratio = upstream.speed().ratioToExpected(load.pacePercent().getAsInt(), nowNanos);
        if (ratio > NOTABLE_RATIO || ratio < 1 / NOTABLE_RATIO) {
            changeListener.run();
        }
    }

    /** Whether there is anything to forward. */
    public boolean isEmpty() {
        return loads.isEmpty();
    }

    /** Returns what has not been forwarded, with its age, and forgets it. */
    public List<AgedLoad> take(long nowNanos) {
        List<AgedLoad> aged = new ArrayList<>(loads.size());
        loads.forEach(
                (key, load) ->
                        aged.add(
                                new AgedLoad(
                                        key,
                                        load,
                                        Duration.ofNanos(nowNanos - receivedNanos.get(key)))));
        loads.clear();
        receivedNanos.clear();
        return aged;
    }
}
