package org.wigeonferry.decisions;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.wigeonferry.core_types.ZoneId;

/**
 * Tells whether the configuration of this process is recent enough to admit work by.
 *
 * <p>It is when, within the bound, news reached this process from the platform's store, or from
 * more than half of the availability zones. A revision counts as accepted only when more than half
 * of the zones hold it; so whoever hears from more than half of them has met it. News travels with
 * its age, and age is counted from the moment at which this process asked: an answer that lay in a
 * buffer while the process was paused is as old as the question.
 *
 * <p>A process that has just started knows nothing, so it is no witness for its own zone until it
 * has caught up once: with the store, or with more than half of the zones by the word of others.
 *
 * <p>Not thread safe; owned by the control thread.
 */
public final class FreshnessTracker {
    private final Duration bound;
    private final Map<ZoneId, Long> heardNanos = new HashMap<>();
    private long storeHeardNanos;
    private boolean storeHeard;
    private boolean caughtUp;

    /** News older than {@code bound} doesn't count. */
    public FreshnessTracker(Duration bound) {
        this.bound = bound;
    }

    /** Notes that the store was read, by a question asked at the given time. */
    public void onStoreRead(long askedNanos) {
        if (!storeHeard || askedNanos - storeHeardNanos > 0) {
            storeHeard = true;
            storeHeardNanos = askedNanos;
        }
    }

    /** Counts this process as a witness for its own zone, once it has caught up. */
    public void recordOwnZone(ZoneId zone, long nowNanos) {
        if (caughtUp) {
            onZoneReport(zone, nowNanos);
        }
    }

    /** Notes news from an availability zone that was current at the given time. */
    public void onZoneReport(ZoneId zone, long currentAtNanos) {
        heardNanos.merge(zone, currentAtNanos, (a, b) -> a - b > 0 ? a : b);
    }

    /** Tells whether work may be admitted. */
    public boolean checkFreshness(Collection<ZoneId> zones, long nowNanos) {
        boolean fresh = storeWithinBound(nowNanos) || mostZonesWithinBound(zones, nowNanos);
        caughtUp |= fresh;
        return fresh;
    }

    /** Age of the newest news from the store; a very long time if there was none. */
    public Duration storeAge(long nowNanos) {
        return storeHeard ? Duration.ofNanos(nowNanos - storeHeardNanos) : bound.multipliedBy(1000);
    }

    /** Ages of the newest news of each zone that has any within the bound. */
    public Map<ZoneId, Duration> zoneAges(long nowNanos) {
        Map<ZoneId, Duration> ages = new HashMap<>();
        heardNanos.forEach((zone, at) -> ages.put(zone, Duration.ofNanos(nowNanos - at)));
        ages.values().removeIf(age -> age.compareTo(bound) > 0);
        return ages;
    }

    private boolean storeWithinBound(long nowNanos) {
        return storeHeard && nowNanos - storeHeardNanos <= bound.toNanos();
    }

    private boolean mostZonesWithinBound(Collection<ZoneId> zones, long nowNanos) {
        long heard = zones.stream().filter(zone -> heardWithinBound(zone, nowNanos)).count();
        return heard * 2 > zones.size();
    }

    private boolean heardWithinBound(ZoneId zone, long nowNanos) {
        Long at = heardNanos.get(zone);
        return at != null && nowNanos - at <= bound.toNanos();
    }
}
