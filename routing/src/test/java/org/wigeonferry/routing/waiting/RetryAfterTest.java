package org.wigeonferry.routing.waiting;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against callers that are refused together and return together: with one fixed time, a
 * thousand of them return in the same moment to a service that ends a hundred sends in a second.
 */
class RetryAfterTest {
    private static final int CALLERS = 1000;
    private static final int ENDS_PER_SECOND = 100;
    private static final int WAITING = 50;

    private final DrainRate drainRate = new DrainRate();

    private void drainAtRate() {
        IntStream.range(0, ENDS_PER_SECOND + 1).forEach(i -> drainRate.onStart(0));
        drainRate.onEnd(Optional.of(Duration.ofSeconds(1)));
    }

    private Duration[] returns() {
        Random random = new Random(3);
        return IntStream.rangeClosed(1, CALLERS)
                .mapToObj(i -> RetryAfter.of(drainRate, WAITING, CALLERS, random.nextDouble()))
                .toArray(Duration[]::new);
    }

    private static long mostInASecond(Duration[] returns) {
        return Arrays.stream(returns)
                .mapToLong(
                        from ->
                                Arrays.stream(returns)
                                        .filter(r -> r.compareTo(from) >= 0)
                                        .filter(r -> r.compareTo(from.plusSeconds(1)) < 0)
                                        .count())
                .max()
                .orElse(0);
    }

    @Test
    void callersReturnAtTheRateAtWhichSendsEnd() {
        drainAtRate();
        // Chance moves some of them together; the mean is the rate.
        assertThat(mostInASecond(returns())).isLessThan(3 * ENDS_PER_SECOND / 2);
    }

    @Test
    void nobodyReturnsBeforeTheQueueOfTodayHasDrained() {
        drainAtRate();
        assertThat(Arrays.stream(returns()).min(Duration::compareTo).orElseThrow())
                .isGreaterThanOrEqualTo(Duration.ofMillis(1000 * WAITING / ENDS_PER_SECOND));
    }

    @Test
    void oneFixedTimeBringsAllBackTogether() {
        Duration[] fixed = new Duration[CALLERS];
        Arrays.fill(fixed, Duration.ofMillis(500));
        assertThat(mostInASecond(fixed)).isEqualTo(CALLERS);
    }

    @Test
    void returnsAreSpreadAlsoBeforeTheRateIsKnownAndBeyondTheLongestTime() {
        assertThat(Arrays.stream(returns()).distinct().count()).isGreaterThan(CALLERS / 2);
        drainRate.onStart(0);
        drainRate.onEnd(Optional.of(Duration.ofMinutes(1)));
        Duration[] slow = returns();
        assertThat(Arrays.stream(slow).max(Duration::compareTo).orElseThrow())
                .isLessThanOrEqualTo(Duration.ofSeconds(10));
        assertThat(mostInASecond(slow)).isLessThan(CALLERS / 3);
    }
}
