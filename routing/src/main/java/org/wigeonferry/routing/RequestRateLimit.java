package org.wigeonferry.routing;

import java.time.Duration;

/**
 * The rate of requests that an upstream takes from all routers together.
 *
 * <p>Each router sends no more than its share of a number of requests in any {@link #WINDOW}, so
 * that no exchange is needed. Immutable and thread safe.
 *
 * @param requestsPerSecond the rate that the upstream named last
 * @param sinceNanos when the upstream first named a rate; sends before that don't count
 */
record RequestRateLimit(double requestsPerSecond, long sinceNanos) {
    /** Long, so that the shares of many routers in a low rate are whole requests. */
    static final Duration WINDOW = Duration.ofSeconds(4);

    /** Factor on the rate: a router that has no use for its share leaves it unused. */
    private static final double UNUSED_SHARES_FACTOR = 1.2;

    /** Requests in a window beyond the rate, so that a rate near zero can be seen to rise. */
    private static final double EXTRA_REQUESTS = 3.5;

    /** Requests that one router may send within any {@link #WINDOW}. */
    int shareOf(LiveRouters routers, String upstreamId) {
        double requests =
                requestsPerSecond * WINDOW.toSeconds() * UNUSED_SHARES_FACTOR + EXTRA_REQUESTS;
        return routers.shareOf(Math.min(requests, Integer.MAX_VALUE), upstreamId);
    }

    /** Start of the window that ends now, without the time before the rate was named. */
    long windowStartNanos(long nowNanos) {
        long startNanos = nowNanos - WINDOW.toNanos();
        return startNanos - sinceNanos > 0 ? startNanos : sinceNanos;
    }
}
