package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.ZoneId;

class FreshnessTrackerTest {
    private static final Duration FRESHNESS_BOUND = Duration.ofSeconds(5);
    private static final ZoneId A = new ZoneId("a");
    private static final ZoneId B = new ZoneId("b");
    private static final ZoneId C = new ZoneId("c");
    private static final Set<ZoneId> ZONES = Set.of(A, B, C);

    private final FreshnessTracker freshness = new FreshnessTracker(FRESHNESS_BOUND);

    @Test
    void withoutReportsIsStale() {
        assertThat(freshness.checkFreshness(ZONES, 0)).isFalse();
    }

    @Test
    void storeReadWithinTheBoundIsFresh() {
        freshness.onStoreRead(0);
        assertThat(freshness.checkFreshness(ZONES, FRESHNESS_BOUND.toNanos())).isTrue();
        assertThat(freshness.checkFreshness(ZONES, FRESHNESS_BOUND.toNanos() + 1)).isFalse();
    }

    @Test
    void reportsFromAMajorityOfZonesAreFresh() {
        freshness.onZoneReport(A, 0);
        assertThat(freshness.checkFreshness(ZONES, 0)).isFalse();
        freshness.onZoneReport(B, 0);
        assertThat(freshness.checkFreshness(ZONES, 0)).isTrue();
    }

    @Test
    void reportsFromExactlyHalfOfTheZonesAreStale() {
        freshness.onZoneReport(A, 0);
        assertThat(freshness.checkFreshness(Set.of(A, B), 0)).isFalse();
    }

    @Test
    void pausedProcessIsStaleUntilItReadsTheStoreAgain() {
        freshness.onStoreRead(0);
        long resumedNanos = Duration.ofMinutes(1).toNanos();
        assertThat(freshness.checkFreshness(ZONES, resumedNanos)).isFalse();
        freshness.onStoreRead(resumedNanos);
        assertThat(freshness.checkFreshness(ZONES, resumedNanos)).isTrue();
    }

    @Test
    void lateAnswerToAnOlderReadDoesNotReplaceANewerRead() {
        freshness.onStoreRead(0);
        freshness.onStoreRead(-FRESHNESS_BOUND.toNanos());
        assertThat(freshness.checkFreshness(ZONES, 0)).isTrue();
        assertThat(freshness.storeAge(0)).isEqualTo(Duration.ZERO);
    }

    @Test
    void newProcessDoesNotCountForItsOwnZone() {
        freshness.recordOwnReport(A, 0);
        freshness.onZoneReport(B, 0);
        assertThat(freshness.checkFreshness(ZONES, 0)).isFalse();
        freshness.onZoneReport(C, 0);
        assertThat(freshness.checkFreshness(ZONES, 0)).isTrue();
    }

    @Test
    void processThatCaughtUpCountsForItsOwnZone() {
        freshness.onStoreRead(0);
        assertThat(freshness.checkFreshness(ZONES, 0)).isTrue();
        long laterNanos = FRESHNESS_BOUND.toNanos() + 1;
        freshness.recordOwnReport(A, laterNanos);
        freshness.onZoneReport(B, laterNanos);
        assertThat(freshness.checkFreshness(ZONES, laterNanos)).isTrue();
    }

    @Test
    void unknownZonesDoNotCount() {
        freshness.onZoneReport(new ZoneId("x"), 0);
        freshness.onZoneReport(new ZoneId("y"), 0);
        assertThat(freshness.checkFreshness(ZONES, 0)).isFalse();
    }
}
