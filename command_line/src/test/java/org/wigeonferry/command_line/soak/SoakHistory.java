package org.wigeonferry.command_line.soak;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.LongSupplier;

/**
 * What callers, upstreams and the operator saw; the routers' own reports are no part of it.
 *
 * <p>Thread safe.
 */
final class SoakHistory {
    private final List<SoakCall> calls = new CopyOnWriteArrayList<>();
    private final List<SoakRunOfRequest> runs = new CopyOnWriteArrayList<>();
    private final List<SoakSpan> disturbances = new CopyOnWriteArrayList<>();
    private final Map<String, Long> leaving = new ConcurrentHashMap<>();
    private final Map<String, Long> revoked = new ConcurrentHashMap<>();
    private final LongSupplier clock;

    SoakHistory(LongSupplier millis) {
        clock = millis;
    }

    long now() {
        return clock.getAsLong();
    }

    void call(SoakCall call) {
        calls.add(call);
    }

    void run(String id, String upstream) {
        runs.add(new SoakRunOfRequest(id, upstream, now()));
    }

    void disturbed(int router, long from, long to) {
        disturbances.add(new SoakSpan(router, from, to));
    }

    /** Begins a disturbance whose end is not known yet. */
    SoakSpan disturbedFromNow(int router) {
        SoakSpan open = new SoakSpan(router, now(), Long.MAX_VALUE);
        disturbances.add(open);
        return open;
    }

    void ended(SoakSpan open, long to) {
        disturbances.add(new SoakSpan(open.router(), open.fromMillis(), to));
        disturbances.remove(open);
    }

    /** The store took an upstream's word that it leaves, or the end of its entry. */
    void leaving(String upstream) {
        leaving.putIfAbsent(upstream, now());
    }

    /** The store took a configuration without the key. */
    void revoked(String key) {
        revoked.putIfAbsent(key, now());
    }

    List<SoakCall> calls() {
        return calls;
    }

    List<SoakRunOfRequest> runs() {
        return runs;
    }

    Map<String, Long> leaving() {
        return leaving;
    }

    Map<String, Long> revoked() {
        return revoked;
    }

    boolean disturbedBetween(int router, long from, long to) {
        return disturbances.stream().anyMatch(span -> span.touches(router, from, to));
    }
}
