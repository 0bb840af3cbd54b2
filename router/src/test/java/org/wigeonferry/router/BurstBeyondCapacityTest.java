package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Guards against a burst of three times what the engines serve: sent on without limit, it fills
 * their memory until they crash; held back without limit, it is answered too late.
 */
class BurstBeyondCapacityTest {
    private static final Duration LENGTH = Duration.ofSeconds(8);

    private static PressureFleet play(boolean queue, double load) {
        PressureFleet fleet = new PressureFleet(queue, false);
        fleet.offerAll(load * PressureFleet.CAPACITY_PER_SECOND, LENGTH);
        fleet.run(LENGTH.plusSeconds(4));
        return fleet;
    }

    @Test
    void goodputStaysNearItsBestAndNoEngineExceedsItsMemory() {
        int best = 0;
        for (double load : new double[] {0.6, 0.8, 1, 1.2}) {
            best = Math.max(best, play(true, load).tally().goodput());
        }
        PressureFleet burst = play(true, 3);
        assertThat(burst.crashes()).isZero();
        assertThat(burst.mostHeldTokens()).isLessThan(PressureFleet.CAPACITY_TOKENS);
        assertThat(burst.tally().goodput()).isGreaterThanOrEqualTo((int) (0.9 * best));
    }

    /** Those that are refused learn it while they can still go elsewhere. */
    @Test
    void requestsThatAreRefusedHaveHardlyWaited() {
        PressureTally tally = play(true, 3).tally();
        assertThat(tally.refusals()).isNotEmpty();
        assertThat(tally.medianRefusalWaitMillis())
                .isLessThan(PressureFleet.OBJECTIVE.toMillis() / 8.0);
    }

    @Test
    void nothingIsRefusedBelowTheCapacity() {
        PressureFleet calm = play(true, 0.6);
        assertThat(calm.tally().refusals()).isEmpty();
        assertThat(calm.tally().late()).isZero();
    }

    @Test
    void withoutQueueTheBurstCrashesEngines() {
        PressureFleet before = play(false, 3);
        assertThat(before.crashes()).isPositive();
        assertThat(before.tally().goodput()).isLessThan(play(true, 3).tally().goodput());
    }
}
