package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against engines that exceed their memory after a link within a zone is lost: the report of
 * a router that holds most of it expires after 1 s, while its answers go on for longer than that.
 */
class LinkLostDuringLongAnswersTest {
    private static final Duration LOSS = Duration.ofSeconds(10);

    @ParameterizedTest
    @ValueSource(ints = {1, 8, 20})
    void tokensStayBelowTheMemoryWhenTheRouterThatHoldsMostIsCutOff(int decodeFactor) {
        PressureFleet fleet = new PressureFleet(true, false, PressureFleet.SMALL_CAPACITY_TOKENS);
        fleet.setDecodeFactor(decodeFactor);
        PressureRouter loaded = fleet.routers().get(0);
        fleet.setReachable(r -> r == loaded || r.name().startsWith("zone-b"));
        fleet.offerAll(
                3.0 * PressureFleet.CAPACITY_PER_SECOND / decodeFactor, LOSS.multipliedBy(2));
        fleet.after(
                LOSS,
                () -> {
                    fleet.cutOff(loaded);
                    fleet.setReachable(r -> true);
                });
        fleet.run(LOSS.multipliedBy(2));
        assertThat(fleet.crashes()).isZero();
        assertThat(fleet.mostHeldTokens()).isLessThan(PressureFleet.SMALL_CAPACITY_TOKENS);
    }
}
