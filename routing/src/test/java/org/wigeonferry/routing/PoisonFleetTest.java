package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Plays requests with a poison part against fleets of routers. Bounds are the users': at most three
 * such requests reach upstreams later than the contact time after the fifth crash, and from twice
 * that time on at least half of the sound requests with the same parts begin.
 */
class PoisonFleetTest {
    private static final int STEPS_PER_SECOND = (int) (1_000_000_000 / PoisonFleet.STEP_NANOS);
    private static final int CONTACT_STEPS = 3 * STEPS_PER_SECOND;
    private static final int SEEDS = 40;

    @ParameterizedTest
    @CsvSource({"1,4", "4,8", "5,12", "33,42"})
    void poisonRequestsStopAndSoundOnesGoOn(int routers, int upstreams) {
        for (int seed = 0; seed < SEEDS; seed++) {
            play(routers, upstreams, seed, false);
        }
    }

    @ParameterizedTest
    @CsvSource({"4,8", "33,42"})
    void restartsOfRoutersLoseNoEvidence(int routers, int upstreams) {
        for (int seed = 0; seed < SEEDS; seed++) {
            play(routers, upstreams, seed, true);
        }
    }

    private static void play(int routers, int upstreams, int seed, boolean restarts) {
        PoisonFleet fleet = new PoisonFleet(routers, upstreams, seed);
        Random random = new Random(~seed);
        double poisonPerSecond = 0.3 + 1.2 * random.nextDouble();
        int firstPoison = random.nextInt(6 * STEPS_PER_SECOND);
        boolean soundIsMeasured = false;
        for (int step = 0; step < 40 * STEPS_PER_SECOND; step++) {
            if (random.nextDouble() < 8.0 / STEPS_PER_SECOND) {
                fleet.request(false);
            }
            if (step >= firstPoison && random.nextDouble() < poisonPerSecond / STEPS_PER_SECOND) {
                fleet.request(true);
            }
            if (restarts && step % (5 * STEPS_PER_SECOND) == 4 * STEPS_PER_SECOND) {
                fleet.restartRouter(random.nextInt(routers));
            }
            fleet.advance();
            if (!soundIsMeasured && step >= fifthCrash(fleet) + 2 * CONTACT_STEPS) {
                soundIsMeasured = true;
                fleet.takeShareOfSoundRequestsBegun();
            }
        }
        int lastAllowed = fifthCrash(fleet) + CONTACT_STEPS;
        assertThat(fleet.poisonArrivalSteps().stream().filter(s -> s > lastAllowed).count())
                .as("late arrivals, seed %d, crashes at %s", seed, fleet.crashSteps())
                .isLessThanOrEqualTo(3);
        assertThat(fleet.takeShareOfSoundRequestsBegun())
                .as("share of sound requests begun, seed %d", seed)
                .isGreaterThanOrEqualTo(0.5);
    }

    /** The step of the fifth crash; far in the future before it. */
    private static int fifthCrash(PoisonFleet fleet) {
        return fleet.crashSteps().size() < 5 ? 1_000_000 : fleet.crashSteps().get(4);
    }
}
