package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Guards against refused callers that all come back at once, again and again, so that the engines
 * are flooded by the same callers.
 */
class CallersComeBackTest {
    private static final Duration BURST = Duration.ofSeconds(4);

    private static PressureFleet play(boolean queue) {
        PressureFleet fleet = new PressureFleet(queue, true);
        fleet.offerAll(0.5 * PressureFleet.CAPACITY_PER_SECOND, BURST.multipliedBy(5));
        fleet.offerAll(2.5 * PressureFleet.CAPACITY_PER_SECOND, BURST);
        fleet.run(BURST.multipliedBy(5).plusSeconds(4));
        return fleet;
    }

    @Test
    void callersAreServedAtTheCapacityAndTheBacklogEnds() {
        PressureFleet fleet = play(true);
        assertThat(fleet.crashes()).isZero();
        // Each of them is served in the end: 0.5 of the capacity for 20 s, and 2.5 for 4 s.
        int offered = 20 * PressureFleet.CAPACITY_PER_SECOND;
        assertThat(fleet.tally().goodput()).isGreaterThanOrEqualTo((int) (0.9 * offered));
    }

    @Test
    void withoutQueueCallersAreServedLessOften() {
        assertThat(play(false).tally().goodput()).isLessThan(play(true).tally().goodput());
    }
}
