package org.wigeonferry.router;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.wigeonferry.routing.LiveRouters;

/**
 * Tracks the live routers by the times of their reports.
 *
 * <p>Invariant: until all reports have been read and the discovery time has passed, a minimum count
 * of routers is assumed, and no router is removed while the store does not answer. So the share of
 * a common limit does not get too large only because a router is not visible. Owned by the control
 * thread.
 */
final class LiveRouterTracker {
    /** Time in which routers started together publish and read their first reports. */
    private static final Duration DISCOVERY_TIME = Duration.ofSeconds(6);

    private final String ownName;
    private final long timeoutNanos;
    private final int minCountUntilDiscovered;
    private final Map<String, Long> lastReportNanos = new HashMap<>();
    private boolean allReportsRead;
    private long allReportsReadNanos;

    LiveRouterTracker(String ownName, Duration timeout, int minCountUntilDiscovered) {
        this.ownName = ownName;
        timeoutNanos = timeout.toNanos();
        this.minCountUntilDiscovered = minCountUntilDiscovered;
    }

    void recordReport(String router, long nowNanos) {
        lastReportNanos.put(router, nowNanos);
    }

    /** Records that the reports of all routers have been read once. */
    void recordAllReportsRead(long nowNanos) {
        if (!allReportsRead) {
            allReportsRead = true;
            allReportsReadNanos = nowNanos;
        }
    }

    /**
     * Removes routers without a report for longer than the timeout and returns the others. Removes
     * none while the store does not answer, as their reports can't arrive then.
     */
    LiveRouters expireAndReturnLive(long nowNanos, boolean storeAnswers) {
        if (storeAnswers) {
            lastReportNanos.values().removeIf(reportNanos -> nowNanos - reportNanos > timeoutNanos);
        }
        boolean discovered =
                allReportsRead && nowNanos - allReportsReadNanos >= DISCOVERY_TIME.toNanos();
        return new LiveRouters(
                ownName, lastReportNanos.keySet(), discovered ? 1 : minCountUntilDiscovered);
    }
}
