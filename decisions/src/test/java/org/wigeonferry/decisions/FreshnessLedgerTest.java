package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.ZoneId;

class FreshnessLedgerTest {
    private static final Duration BOUND = Duration.ofSeconds(5);
    private static final ZoneId A = new ZoneId("a");
    private static final ZoneId B = new ZoneId("b");
    private static final ZoneId C = new ZoneId("c");
    private static final Set<ZoneId> ZONES = Set.of(A, B, C);

    private final FreshnessLedger ledger = new FreshnessLedger(BOUND);

    @Test
    void nothingHeardIsStale() {
        assertThat(ledger.fresh(ZONES, 0)).isFalse();
    }

    @Test
    void storeWithinTheBoundIsFresh() {
        ledger.onStore(0);
        assertThat(ledger.fresh(ZONES, BOUND.toNanos())).isTrue();
        assertThat(ledger.fresh(ZONES, BOUND.toNanos() + 1)).isFalse();
    }

    @Test
    void moreThanHalfOfTheZonesIsFresh() {
        ledger.onZone(A, 0);
        assertThat(ledger.fresh(ZONES, 0)).isFalse();
        ledger.onZone(B, 0);
        assertThat(ledger.fresh(ZONES, 0)).isTrue();
    }

    @Test
    void exactlyHalfOfTheZonesIsStale() {
        ledger.onZone(A, 0);
        assertThat(ledger.fresh(Set.of(A, B), 0)).isFalse();
    }

    @Test
    void pausedProcessIsStaleUntilItHearsAgain() {
        ledger.onStore(0);
        long thawed = Duration.ofMinutes(1).toNanos();
        assertThat(ledger.fresh(ZONES, thawed)).isFalse();
        ledger.onStore(thawed);
        assertThat(ledger.fresh(ZONES, thawed)).isTrue();
    }

    @Test
    void answerThatLayInABufferIsAsOldAsItsQuestion() {
        ledger.onStore(0);
        ledger.onStore(-BOUND.toNanos());
        assertThat(ledger.fresh(ZONES, 0)).isTrue();
        assertThat(ledger.storeAge(0)).isEqualTo(Duration.ZERO);
    }

    @Test
    void newProcessIsNoWitnessForItsOwnZone() {
        ledger.onOwnZone(A, 0);
        ledger.onZone(B, 0);
        assertThat(ledger.fresh(ZONES, 0)).isFalse();
        ledger.onZone(C, 0);
        assertThat(ledger.fresh(ZONES, 0)).isTrue();
    }

    @Test
    void processThatCaughtUpIsAWitnessForItsOwnZone() {
        ledger.onStore(0);
        assertThat(ledger.fresh(ZONES, 0)).isTrue();
        long later = BOUND.toNanos() + 1;
        ledger.onOwnZone(A, later);
        ledger.onZone(B, later);
        assertThat(ledger.fresh(ZONES, later)).isTrue();
    }

    @Test
    void unknownZonesDoNotCount() {
        ledger.onZone(new ZoneId("x"), 0);
        ledger.onZone(new ZoneId("y"), 0);
        assertThat(ledger.fresh(ZONES, 0)).isFalse();
    }
}
