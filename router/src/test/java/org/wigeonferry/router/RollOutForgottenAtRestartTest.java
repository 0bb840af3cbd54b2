package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonferry.routing.RollOut;
import org.wigeonferry.routing.RollOutState;

/**
 * Guards against a bad release that goes on getting requests, or is completed, because routers that
 * restart count the duration of the roll-out and the answers of the release from zero.
 */
class RollOutForgottenAtRestartTest {
    private static final Duration DURATION = Duration.ofSeconds(16);
    private static final double BAD = 0.5;

    /** Share of failures that does not roll back a release at once. */
    private static final double TOLERATED = 0.12;

    /** From the order to a time at which the new release has got requests. */
    private static final Duration EXPOSED = Duration.ofSeconds(11);

    /** Largest share of the requests that a bad release may get, and requests beyond it. */
    private static final double MAX_EXPOSURE = 0.15;

    private static final int EXTRA_EXPOSURE = 30;

    /** Bad answers after which a release must get no more requests within {@link #ROLL_BACK}. */
    private static final int MAX_BAD_ANSWERS = 50;

    private static final Duration ROLL_BACK = Duration.ofSeconds(5);

    private static void assertExposureIsBounded(RollOutFleet fleet, int sendsBefore) {
        assertThat((double) fleet.sendsToNewReleaseNanos().size())
                .isLessThanOrEqualTo(MAX_EXPOSURE * (fleet.sends() - sendsBefore) + EXTRA_EXPOSURE);
        List<Long> bad = fleet.badAnswersNanos();
        if (bad.size() >= MAX_BAD_ANSWERS) {
            long latest = bad.get(MAX_BAD_ANSWERS - 1) + ROLL_BACK.toNanos();
            assertThat(fleet.sendsToNewReleaseNanos()).allMatch(sent -> sent <= latest);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void badReleaseIsRolledBackInTimeThoughAllRoutersRestartAgainAndAgain(long seed) {
        RollOutFleet fleet = new RollOutFleet(4, BAD, seed);
        int sendsBefore = fleet.sends();
        fleet.order(DURATION);
        for (int i = 0; i < 5; i++) {
            fleet.run(Duration.ofSeconds(3));
            fleet.restartAll();
        }
        fleet.run(Duration.ofSeconds(1));
        assertThat(fleet.state()).contains(RollOutState.ROLLED_BACK);
        fleet.run(Duration.ofSeconds(30));
        assertThat(fleet.state()).contains(RollOutState.ROLLED_BACK);
        assertExposureIsBounded(fleet, sendsBefore);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void restartsInQuickSuccessionExposeNoMore(long seed) {
        RollOutFleet fleet = new RollOutFleet(8, BAD, seed);
        int sendsBefore = fleet.sends();
        fleet.order(DURATION);
        for (int i = 0; i < 10; i++) {
            fleet.run(Duration.ofMillis(1700));
            fleet.restartAll();
        }
        fleet.run(Duration.ofSeconds(30));
        assertThat(fleet.state()).contains(RollOutState.ROLLED_BACK);
        assertExposureIsBounded(fleet, sendsBefore);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void soundReleaseIsCompletedInTimeThoughAllRoutersRestart(long seed) {
        RollOutFleet fleet = new RollOutFleet(4, 0, seed);
        fleet.order(DURATION);
        fleet.run(Duration.ofSeconds(8));
        fleet.restartAll();
        fleet.run(Duration.ofSeconds(8));
        assertThat(fleet.state()).contains(RollOutState.COMPLETED);
    }

    /** Whatever was counted and reported before counts after the restart. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void evidenceThatWasReportedOutlivesItsRouters(int restarts) {
        RollOutFleet fleet = new RollOutFleet(4, TOLERATED, 1);
        fleet.order(DURATION);
        fleet.run(EXPOSED);
        long badBefore = fleet.badAnswersNanos().size();
        assertThat(badBefore).isPositive();
        // A report is due within a second of a failure, and is read within two more.
        fleet.run(Duration.ofMillis(3500));
        for (int i = 0; i < restarts; i++) {
            fleet.restartAll();
            fleet.run(Duration.ofSeconds(5));
        }
        for (VirtualRouter router : fleet.routers()) {
            RollOut order = router.router().state().rollOuts().orders().get(0);
            assertThat(router.router().state().rollOuts().totalEvidence(order).fresh().bad())
                    .isGreaterThanOrEqualTo(badBefore);
        }
    }

    /** A release whose answers are too few to tell is no release to move all traffic to. */
    @ParameterizedTest
    @ValueSource(ints = {1, 4})
    void undecidedReleaseIsRolledBackAtTheEnd(int routers) {
        RollOutFleet fleet = new RollOutFleet(routers, 0, 1);
        fleet.stopRequests();
        fleet.order(DURATION);
        fleet.run(DURATION);
        assertThat(fleet.state()).contains(RollOutState.ROLLED_BACK);
    }
}
