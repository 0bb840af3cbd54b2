package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import java.util.function.ToLongBiFunction;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that miss their objective because a few upstreams among many are slow,
 * and against hedged sends that add to an overload.
 */
class HedgedLoadTest {
    private static final double SHARE = 0.05;
    private static final int UPSTREAMS = 20;
    private static final Duration TIME = Duration.ofSeconds(60);
    private static final Duration INTERVAL = Duration.ofMillis(5);

    /** The objective of the route in the fixtures. */
    private static final Duration OBJECTIVE = Duration.ofSeconds(1);

    private static final int SLOW_SENDS_OF_100 = 4;
    private static final long SLOW_PERIOD_NANOS = Duration.ofMillis(600).toNanos();

    private static long millis(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    /** Two upstreams at a time are slow for 600 ms; the others answer within 20 to 60 ms. */
    private static ToLongBiFunction<Integer, Long> fewSlow(long seed) {
        Random random = new Random(seed);
        return (number, sinceStart) -> {
            long period = sinceStart / SLOW_PERIOD_NANOS;
            boolean slow = number == period % UPSTREAMS || number == (period * 7 + 3) % UPSTREAMS;
            return millis(slow ? 1500 : 20 + random.nextInt(40));
        };
    }

    private static HedgedFleet replay(double share, long seed) {
        HedgedFleet fleet = new HedgedFleet(share, UPSTREAMS, fewSlow(seed));
        fleet.run(TIME, INTERVAL);
        return fleet;
    }

    @Test
    void fewSlowUpstreamsMakeFewerRequestsLate() {
        for (long seed = 0; seed < 5; seed++) {
            HedgedFleet without = replay(0, seed);
            HedgedFleet with = replay(SHARE, seed);
            assertThat(without.hedgesAfter(Duration.ZERO)).isZero();
            assertThat(without.late(OBJECTIVE)).as("seed %d", seed).isPositive();
            assertThat(with.late(OBJECTIVE))
                    .as("seed %d", seed)
                    .isLessThan(without.late(OBJECTIVE) / 2);
            assertThat((double) with.hedgesAfter(Duration.ZERO))
                    .as("seed %d", seed)
                    .isLessThanOrEqualTo(SHARE * with.firstSends());
        }
    }

    /** The slowest sends are cancelled, so that their waits are known only in part. */
    @Test
    void aboutFiveOf100SendsAreHedgedThoughTheSlowestAreCancelled() {
        for (long seed = 0; seed < 5; seed++) {
            Random random = new Random(seed);
            HedgedFleet fleet =
                    new HedgedFleet(
                            1,
                            UPSTREAMS,
                            (number, sinceStart) ->
                                    millis(
                                            random.nextInt(100) < SLOW_SENDS_OF_100
                                                    ? 1500
                                                    : 20 + random.nextInt(40)));
            fleet.run(TIME, INTERVAL);
            assertThat((double) fleet.hedgesAfter(Duration.ZERO) / fleet.firstSends())
                    .as("seed %d", seed)
                    .isBetween(0.03, 0.07);
        }
    }

    /** All answers come after the objective from 20 s on; a second send would be as slow. */
    @Test
    void hedgingStopsInAnOverload() {
        long overloadNanos = Duration.ofSeconds(20).toNanos();
        Random random = new Random(1);
        HedgedFleet fleet =
                new HedgedFleet(
                        SHARE,
                        UPSTREAMS,
                        (number, sinceStart) ->
                                sinceStart < overloadNanos
                                        ? millis(20 + random.nextInt(40))
                                        : millis(900 + random.nextInt(600)));
        fleet.run(TIME, INTERVAL);
        assertThat(fleet.hedgesAfter(Duration.ofSeconds(23))).isZero();
    }
}
