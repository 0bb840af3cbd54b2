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
 * Chooses an upstream for each attempt, by load estimates updated from answers.
 *
 * <p>A catalog change drops the load estimates of upstreams that are no longer listed. An attempt
 * to such an upstream that ends later adds a new estimate, which is dropped at the next change. Not
 * thread safe; owned by the control thread.
 */
public final class UpstreamRouter {
    private final SubsetSelection subsetSelection;
    private final UpstreamChooser upstreamChoice;
    private final Map<UpstreamId, LoadEstimate> loadEstimates = new HashMap<>();

    /** Chooses by {@code upstreamChoice} among the upstreams of a subset. */
    public UpstreamRouter(SubsetSelection subsetSelection, UpstreamChooser upstreamChoice) {
        this.subsetSelection = subsetSelection;
        this.upstreamChoice = upstreamChoice;
    }

    /** Chooses an upstream that is neither blocked nor tried already; empty if there is none. */
    public Optional<Upstream> route(RouteQuery query, Catalog catalog, long nowNanos) {
        List<Upstream> candidates =
                subsetSelection.subset(query, catalog).stream()
                        .filter(UpstreamPredicates.notYetTried(query))
                        .filter(upstream -> estimateOf(upstream.id()).isUnblocked(nowNanos))
                        .toList();
        return upstreamChoice.choose(
                candidates, upstream -> estimateOf(upstream.id()).expectedFirstTokenMicros());
    }

    /** Records that an attempt was sent. */
    public void onAttemptSent(UpstreamId upstream) {
        estimateOf(upstream).onAttemptSent();
    }

    /** Records that an attempt ended, with any outcome. */
    public void onAttemptEnded(UpstreamId upstream) {
        estimateOf(upstream).onAttemptEnded();
    }

    /** Records the attempts in flight and the concurrency limit that an answer reported. */
    public void onLoadReport(UpstreamId upstream, int inFlight, int concurrencyLimit) {
        estimateOf(upstream).onLoadReport(inFlight, concurrencyLimit);
    }

    /** Records the time from sending an attempt to its first token. */
    public void onFirstToken(UpstreamId upstream, Duration latency) {
        estimateOf(upstream).onFirstToken(latency.toNanos() / 1000);
    }

    /** Sends no attempts to an upstream for the given duration. */
    public void block(UpstreamId upstream, Duration duration, long nowNanos) {
        estimateOf(upstream).blockUntil(nowNanos + duration.toNanos());
    }

    /** Drops the load estimates of upstreams that the catalog no longer lists. */
    public void onCatalogChange(Catalog catalog) {
        loadEstimates.keySet().removeIf(id -> catalog.upstream(id).isEmpty());
    }

    private LoadEstimate estimateOf(UpstreamId id) {
        return loadEstimates.computeIfAbsent(id, key -> new LoadEstimate());
    }
}
