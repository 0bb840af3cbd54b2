package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Compares the budget with the limit computed from a list of all sends and retries. */
class SlidingWindowRetryBudgetFuzzTest {
    private static final int ROUTERS = 4;
    private static final int STEPS = 4000;

    @Test
    void neverAllowsMoreRetriesThanThisRoutersShare() {
        for (long seed = 0; seed < 20; seed++) {
            checkRandomSequence(new Random(seed));
        }
    }

    private static void checkRandomSequence(Random random) {
        SlidingWindowRetryBudget budget = new SlidingWindowRetryBudget(Fixtures.LIMITS);
        List<Long> firstSendNanos = new ArrayList<>();
        List<Long> retryNanos = new ArrayList<>();
        long nowNanos = 0;
        for (int i = 0; i < STEPS; i++) {
            nowNanos += random.nextInt(200) * 1_000_000L;
            if (random.nextBoolean()) {
                budget.onFirstSend(nowNanos);
                firstSendNanos.add(nowNanos);
            } else if (budget.tryAcquireRetry(nowNanos, ROUTERS)) {
                retryNanos.add(nowNanos);
                // Extra retries and retry ratio of the fixture's limits.
                double maxRetries = 8.0 / ROUTERS + 0.5 * countInWindow(firstSendNanos, nowNanos);
                assertThat((double) countInWindow(retryNanos, nowNanos))
                        .isLessThanOrEqualTo(maxRetries);
            }
        }
        assertThat(retryNanos).isNotEmpty();
    }

    private static long countInWindow(List<Long> timesNanos, long nowNanos) {
        return timesNanos.stream()
                .filter(time -> nowNanos - time < 10 * Fixtures.NANOS_PER_SECOND)
                .count();
    }
}
