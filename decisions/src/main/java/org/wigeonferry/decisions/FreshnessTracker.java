package org.wigeonferry.decisions;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.wigeonferry.core_types.ZoneId;

/**
 * Tracks whether the configuration of this process is recent enough to admit work.
 *
 * <p>The configuration is up to date if this process got information within the freshness bound
 * from the platform's store, or from a majority of the availability zones. A revision is accepted
 * only when a majority of the zones hold it, and any two majorities share a zone, so a process that
 * hears from a majority has seen every accepted revision. Each report carries the age of its
 * information, and that age counts from the time at which this process sent the request: an answer
 * that waited in a buffer while the process was paused is as old as the request.
 *
 * <p>A process that has just started knows nothing, so its own report is not counted toward the
 * majority until the store, or reports of other processes alone, have confirmed its configuration
 * once.
 *
 * <p>Not thread safe; owned by the control thread.
 */
public final class FreshnessTracker {
    private final Duration freshnessBound;
    private final Map<ZoneId, Long> zoneReportNanos = new HashMap<>();
    private long storeReadNanos;
    private boolean storeWasRead;
    private boolean caughtUp;

    /** Ignores information older than {@code freshnessBound}. */
    public FreshnessTracker(Duration freshnessBound) {
        this.freshnessBound = freshnessBound;
    }

    /** Records a read of the store whose request was sent at the given time. */
    public void onStoreRead(long sentNanos) {
        if (!storeWasRead || sentNanos - storeReadNanos > 0) {
            storeWasRead = true;
            storeReadNanos = sentNanos;
        }
    }

    /**
     * Records a report of this process for its zone, unless its configuration was never confirmed.
     */
    public void recordOwnReport(ZoneId zone, long nowNanos) {
        if (caughtUp) {
            onZoneReport(zone, nowNanos);
        }
    }

    /** Records that a process of the zone confirmed the configuration as of the given time. */
    public void onZoneReport(ZoneId zone, long currentAtNanos) {
        zoneReportNanos.merge(zone, currentAtNanos, (a, b) -> a - b > 0 ? a : b);
    }

    /**
     * Returns whether work may be admitted; if so, also records that this process has caught up.
     */
    public boolean checkFreshness(Collection<ZoneId> zones, long nowNanos) {
        boolean fresh =
                storeReadWithinBound(nowNanos) || majorityOfZonesWithinBound(zones, nowNanos);
        caughtUp |= fresh;
        return fresh;
    }

    /**
     * Returns the age of the last read of the store; if there was none, 1000 times the freshness
     * bound, to report an age far above it.
     */
    public Duration storeAge(long nowNanos) {
        return storeWasRead
                ? Duration.ofNanos(nowNanos - storeReadNanos)
                : freshnessBound.multipliedBy(1000);
    }

    /** Returns the age of the newest report from each zone that has one within the bound. */
    public Map<ZoneId, Duration> zoneAges(long nowNanos) {
        Map<ZoneId, Duration> ages = new HashMap<>();
        zoneReportNanos.forEach(
                (zone, reportNanos) -> ages.put(zone, Duration.ofNanos(nowNanos - reportNanos)));
        ages.values().removeIf(age -> age.compareTo(freshnessBound) > 0);
        return ages;
    }

    private boolean storeReadWithinBound(long nowNanos) {
        return storeWasRead && nowNanos - storeReadNanos <= freshnessBound.toNanos();
    }

    private boolean majorityOfZonesWithinBound(Collection<ZoneId> zones, long nowNanos) {
        long reported = zones.stream().filter(zone -> reportedWithinBound(zone, nowNanos)).count();
        return reported * 2 > zones.size();
    }

    private boolean reportedWithinBound(ZoneId zone, long nowNanos) {
        Long reportNanos = zoneReportNanos.get(zone);
        return reportNanos != null && nowNanos - reportNanos <= freshnessBound.toNanos();
    }
}
