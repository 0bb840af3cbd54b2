package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Guards against urgent requests that are refused or late because less urgent ones, which came
 * before, fill the engines.
 */
class UrgentRequestsFirstTest {
    private static final Duration LENGTH = Duration.ofSeconds(8);
    private static final double URGENT_PER_SECOND = 0.3 * PressureFleet.CAPACITY_PER_SECOND;

    private static int urgentGoodput(boolean queue, double loadOfOthers) {
        PressureFleet fleet = new PressureFleet(queue, false);
        fleet.offerAll(loadOfOthers * PressureFleet.CAPACITY_PER_SECOND, LENGTH);
        fleet.offer(PressureFleet.URGENT_ACCOUNT, URGENT_PER_SECOND, LENGTH);
        fleet.run(LENGTH.plusSeconds(4));
        return fleet.tally().goodputOf(PressureFleet.URGENT_ACCOUNT);
    }

    /** A tenth is left for the time in which the burst fills the engines. */
    @Test
    void urgentRequestsAreServedWhenOthersOfferTwiceTheCapacity() {
        double offered = URGENT_PER_SECOND * LENGTH.toSeconds();
        assertThat(urgentGoodput(true, 2)).isGreaterThanOrEqualTo((int) (0.9 * offered));
    }

    @Test
    void withoutQueueUrgentRequestsLoseAsMuchAsOthers() {
        double offered = URGENT_PER_SECOND * LENGTH.toSeconds();
        assertThat(urgentGoodput(false, 2)).isLessThan((int) (0.9 * offered));
    }
}
