package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/**
 * Guards against one account that sends six times its usual traffic and takes the service of the
 * others: in the order of arrival, each account loses the same share of its requests.
 */
class OneAccountFloodsTest {
    private static final Duration LENGTH = Duration.ofSeconds(10);

    /** Usual traffic that uses 0.9 of the capacity. */
    private static final double USUAL_PER_ACCOUNT =
            0.9 * PressureFleet.CAPACITY_PER_SECOND / PressureFleet.ACCOUNTS;

    private static PressureTally play(boolean queue, double factorOfFirst) {
        PressureFleet fleet = new PressureFleet(queue, false);
        fleet.offer("a0", factorOfFirst * USUAL_PER_ACCOUNT, LENGTH);
        for (int i = 1; i < PressureFleet.ACCOUNTS; i++) {
            fleet.offer("a" + i, USUAL_PER_ACCOUNT, LENGTH);
        }
        fleet.run(LENGTH.plusSeconds(4));
        return fleet.tally();
    }

    private static int goodputOfOthers(PressureTally tally) {
        int sum = 0;
        for (int i = 1; i < PressureFleet.ACCOUNTS; i++) {
            sum += tally.goodputOf("a" + i);
        }
        return sum;
    }

    @Test
    void othersKeepTheirService() {
        int usual = goodputOfOthers(play(true, 1));
        assertThat(goodputOfOthers(play(true, 6))).isGreaterThanOrEqualTo((int) (0.9 * usual));
    }

    @Test
    void withoutQueueOthersLoseTheirService() {
        int usual = goodputOfOthers(play(false, 1));
        assertThat(goodputOfOthers(play(false, 6))).isLessThan((int) (0.9 * usual));
    }

    /** What the others leave unused serves the account that sends much. */
    @Test
    void unusedSharesAreLent() {
        PressureFleet fleet = new PressureFleet(true, false);
        fleet.offer("a0", 0.8 * PressureFleet.CAPACITY_PER_SECOND, LENGTH);
        fleet.run(LENGTH.plusSeconds(4));
        assertThat(fleet.tally().refusals()).isEmpty();
    }
}
