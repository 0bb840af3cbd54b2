package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.ZoneId;

class FreshnessTrackerTest {
    private static final Duration BOUND = Duration.ofSeconds(5);
    private static final ZoneId A = new ZoneId("a");
    private static final ZoneId B = new ZoneId("b");
    private static final ZoneId C = new ZoneId("c");
    private static final Set<ZoneId> ZONES = Set.of(A, B, C);

    private final FreshnessTracker ledger = new FreshnessTracker(BOUND);

    @Test
    void nothingHeardIsStale() {
        assertThat(ledger.checkFreshness(ZONES, 0)).isFalse();
    }

    @Test
    void storeWithinTheBoundIsFresh() {
        ledger.onStoreRead(0);
        assertThat(ledger.checkFreshness(ZONES, BOUND.toNanos())).isTrue();
        assertThat(ledger.checkFreshness(ZONES, BOUND.toNanos() + 1)).isFalse();
    }

    @Test
    void moreThanHalfOfTheZonesIsFresh() {
        ledger.onZoneReport(A, 0);
        assertThat(ledger.checkFreshness(ZONES, 0)).isFalse();
        ledger.onZoneReport(B, 0);
        assertThat(ledger.checkFreshness(ZONES, 0)).isTrue();
    }

    @Test
    void exactlyHalfOfTheZonesIsStale() {
        ledger.onZoneReport(A, 0);
        assertThat(ledger.checkFreshness(Set.of(A, B), 0)).isFalse();
    }

    @Test
    void pausedProcessIsStaleUntilItHearsAgain() {
        ledger.onStoreRead(0);
        long thawed = Duration.ofMinutes(1).toNanos();
        assertThat(ledger.checkFreshness(ZONES, thawed)).isFalse();
        ledger.onStoreRead(thawed);
        assertThat(ledger.checkFreshness(ZONES, thawed)).isTrue();
    }

    @Test
    void answerThatLayInABufferIsAsOldAsItsQuestion() {
        ledger.onStoreRead(0);
        ledger.onStoreRead(-BOUND.toNanos());
        assertThat(ledger.checkFreshness(ZONES, 0)).isTrue();
        assertThat(ledger.storeAge(0)).isEqualTo(Duration.ZERO);
    }

    @Test
    void newProcessIsNoWitnessForItsOwnZone() {
        ledger.recordOwnZone(A, 0);
        ledger.onZoneReport(B, 0);
        assertThat(ledger.checkFreshness(ZONES, 0)).isFalse();
        ledger.onZoneReport(C, 0);
        assertThat(ledger.checkFreshness(ZONES, 0)).isTrue();
    }

    @Test
    void processThatCaughtUpIsAWitnessForItsOwnZone() {
        ledger.onStoreRead(0);
        assertThat(ledger.checkFreshness(ZONES, 0)).isTrue();
        long later = BOUND.toNanos() + 1;
        ledger.recordOwnZone(A, later);
        ledger.onZoneReport(B, later);
        assertThat(ledger.checkFreshness(ZONES, later)).isTrue();
    }

    @Test
    void unknownZonesDoNotCount() {
        ledger.onZoneReport(new ZoneId("x"), 0);
        ledger.onZoneReport(new ZoneId("y"), 0);
        assertThat(ledger.checkFreshness(ZONES, 0)).isFalse();
    }
}
