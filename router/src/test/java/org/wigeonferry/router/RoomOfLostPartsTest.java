package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Guards against room that stays taken after a router, its links or engines are lost, and against
 * routers that do not see each other any more and together exceed an engine's memory.
 */
class RoomOfLostPartsTest {
    private static final Duration LENGTH = Duration.ofSeconds(12);
    private static final Duration LOSS = Duration.ofSeconds(4);

    private static PressureFleet start(double load) {
        PressureFleet fleet = new PressureFleet(true, false);
        fleet.offerAll(load * PressureFleet.CAPACITY_PER_SECOND, LENGTH);
        return fleet;
    }

    private static int goodputInLastSeconds(PressureFleet fleet, int seconds) {
        fleet.run(LENGTH.minusSeconds(seconds));
        int before = fleet.tally().goodput();
        fleet.run(Duration.ofSeconds(seconds));
        return fleet.tally().goodput() - before;
    }

    @Test
    void roomOfARouterThatEndedServesTheOthers() {
        int usual = goodputInLastSeconds(start(1.5), 4);
        PressureFleet fleet = start(1.5);
        fleet.after(LOSS, () -> fleet.kill(fleet.routers().get(0)));
        assertThat(goodputInLastSeconds(fleet, 4)).isGreaterThanOrEqualTo((int) (0.9 * usual));
        assertThat(fleet.crashes()).isZero();
    }

    /** The engines are full in tokens long before they are full in places. */
    private static void assertMemoryLastsAfter(Consumer<PressureFleet> loss) {
        PressureFleet fleet = new PressureFleet(true, false, PressureFleet.SMALL_CAPACITY_TOKENS);
        fleet.offerAll(3 * PressureFleet.CAPACITY_PER_SECOND, LENGTH);
        fleet.after(LOSS, () -> loss.accept(fleet));
        fleet.run(LENGTH);
        assertThat(fleet.crashes()).isZero();
        assertThat(fleet.mostHeldTokens()).isLessThan(PressureFleet.SMALL_CAPACITY_TOKENS);
    }

    @Test
    void tokensStayBelowTheMemoryWhenARouterEnds() {
        assertMemoryLastsAfter(fleet -> fleet.kill(fleet.routers().get(0)));
    }

    @Test
    void tokensStayBelowTheMemoryWhenARouterIsCutOff() {
        assertMemoryLastsAfter(fleet -> fleet.cutOff(fleet.routers().get(0)));
    }

    @Test
    void tokensStayBelowTheMemoryWhenALinkOfAZoneIsLost() {
        assertMemoryLastsAfter(
                fleet -> fleet.cutLink(fleet.routers().get(0), fleet.routers().get(1)));
    }

    @Test
    void tokensStayBelowTheMemoryWhenNoRouterHearsAnother() {
        assertMemoryLastsAfter(fleet -> fleet.routers().forEach(fleet::cutOff));
    }

    @Test
    void routersOfAZoneThatAreAllCutOffUseTheirEvenShares() {
        PressureFleet fleet = start(3);
        fleet.after(LOSS, () -> fleet.routers().forEach(fleet::cutOff));
        int goodput = goodputInLastSeconds(fleet, 4);
        assertThat(fleet.mostHeldTokens()).isLessThan(PressureFleet.CAPACITY_TOKENS);
        // Even shares of all places but a rounding are in use.
        assertThat(goodput).isGreaterThan(2 * PressureFleet.CAPACITY_PER_SECOND);
    }

    @Test
    void crashOfASixthOfTheEnginesLeavesTheOthersInUse() {
        int usual = goodputInLastSeconds(start(1.5), 4);
        PressureFleet fleet = start(1.5);
        fleet.after(Duration.ofMillis(7500), () -> fleet.engines().get(0).crash());
        int goodput = goodputInLastSeconds(fleet, 4);
        assertThat(goodput).isGreaterThanOrEqualTo((int) (0.9 * 5 / 6 * usual));
        assertThat(fleet.crashes()).isEqualTo(1);
        assertThat(fleet.mostHeldTokens()).isLessThan(PressureFleet.CAPACITY_TOKENS);
    }
}
