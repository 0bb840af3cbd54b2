package org.wigeonferry.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Typical time between the events of a stream, which gaps are compared with: by service and model,
 * as models differ tenfold in pace, and by the load of the upstream, as a release that gets a small
 * share of the requests has idle upstreams, whose tokens come faster.
 *
 * <p>Owned by the control thread.
 */
final class TypicalGaps {
    /** Larger or smaller ratios count as this one, so that a single stream can't decide. */
    private static final double MAX_RATIO = 16;

    private final Map<String, GapTrend> trends = new HashMap<>();

    /**
     * Includes a stream.
     *
     * @param gap mean time between its events
     * @param running requests that its upstream ran
     */
    void record(Send send, Duration gap, int running) {
        trends.computeIfAbsent(key(send), key -> new GapTrend()).add(running, gap);
    }

    /** Natural logarithm of a gap's ratio to the typical one; empty until that is known. */
    Optional<Double> logRatio(Send send, Duration gap, int running) {
        double limit = Math.log(MAX_RATIO);
        return Optional.ofNullable(trends.get(key(send)))
                .flatMap(trend -> trend.logRatio(running, gap))
                .map(logRatio -> Math.max(-limit, Math.min(limit, logRatio)));
    }

    private static String key(Send send) {
        return send.upstream().service() + '/' + send.model().orElse("");
    }
}
