package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Compares the budget with a count over all events of the window. */
class SlidingWindowRetryBudgetFuzzTest {
    private static final int ENTRIES = 4;
    private static final int STEPS = 4000;

    @Test
    void neverAllowsMoreThanTheShare() {
        for (long seed = 0; seed < 20; seed++) {
            play(new Random(seed));
        }
    }

    private static void play(Random random) {
        SlidingWindowRetryBudget budget = new SlidingWindowRetryBudget(RoutingFixtures.LIMITS);
        List<Long> firsts = new ArrayList<>();
        List<Long> repeats = new ArrayList<>();
        long now = 0;
        for (int i = 0; i < STEPS; i++) {
            now += random.nextInt(200) * 1_000_000L;
            if (random.nextBoolean()) {
                budget.onFirstSend(now);
                firsts.add(now);
            } else if (budget.tryAcquireRetry(now, ENTRIES)) {
                repeats.add(now);
                double bound = 8.0 / ENTRIES + 0.5 * recent(firsts, now);
                assertThat((double) recent(repeats, now)).isLessThanOrEqualTo(bound);
            }
        }
        assertThat(repeats).isNotEmpty();
    }

    private static long recent(List<Long> times, long now) {
        return times.stream()
                .filter(time -> now - time < 10 * RoutingFixtures.NANOS_PER_SECOND)
                .count();
    }
}
