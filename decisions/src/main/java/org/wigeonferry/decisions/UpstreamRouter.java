package org.wigeonferry.decisions;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.Upstream;
import org.wigeonferry.core_types.UpstreamId;

/**
 * Chooses upstreams and learns their load from the answers.
 *
 * <p>Invariant: keeps state only on upstreams of the current catalog. Not thread safe; owned by the
 * control thread.
 */
public final class UpstreamRouter {
    private final SubsetSelection subsets;
    private final UpstreamChoice choice;
    private final Map<UpstreamId, LoadEstimate> loads = new HashMap<>();

    /** Chooses within subsets. */
    public UpstreamRouter(SubsetSelection subsets, UpstreamChoice choice) {
        this.subsets = subsets;
        this.choice = choice;
    }

    /** Finds an upstream that may take the attempt now. */
    public Optional<Upstream> route(RouteQuery query, Catalog catalog, long nowNanos) {
        List<Upstream> candidates =
                subsets.subset(query, catalog).stream()
                        .filter(UpstreamPredicates.notYetTried(query))
                        .filter(upstream -> load(upstream.id()).isUnblocked(nowNanos))
                        .toList();
        return choice.choose(candidates, u -> load(u.id()).expectedFirstTokenMicros());
    }

    /** Notes that an attempt was sent. */
    public void onAttemptSent(UpstreamId upstream) {
        load(upstream).onAttemptSent();
    }

    /** Notes that an attempt ended, however it did. */
    public void onAttemptEnded(UpstreamId upstream) {
        load(upstream).onAttemptEnded();
    }

    /** Notes the load that an answer reported. */
    public void onLoadReport(UpstreamId upstream, int inFlight, int limit) {
        load(upstream).onLoadReport(inFlight, limit);
    }

    /** Notes the time to a first token. */
    public void onFirstToken(UpstreamId upstream, Duration latency) {
        load(upstream).onFirstToken(latency.toNanos() / 1000);
    }

    /** Sends nothing more to an upstream for a while. */
    public void block(UpstreamId upstream, Duration duration, long nowNanos) {
        load(upstream).blockUntil(nowNanos + duration.toNanos());
    }

    /** Forgets upstreams that a new catalog no longer lists. */
    public void onCatalog(Catalog catalog) {
        loads.keySet().removeIf(id -> catalog.upstream(id).isEmpty());
    }

    private LoadEstimate load(UpstreamId id) {
        return loads.computeIfAbsent(id, key -> new LoadEstimate());
    }
}
