package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class FreshnessTest {
    private static final long NANOS_PER_SECOND = Fixtures.NANOS_PER_SECOND;

    private final Freshness freshness =
            new Freshness(Duration.ofSeconds(4), Duration.ofMillis(400));

    @Test
    void staleBeforeTheFirstConfirmation() {
        assertThat(freshness.isUpToDate(0, 0)).isFalse();
    }

    @Test
    void ageCountsFromTheConfirmedMoment() {
        freshness.recordConfirmation(NANOS_PER_SECOND, 1000);
        assertThat(freshness.isUpToDate(4 * NANOS_PER_SECOND, 4000)).isTrue();
        assertThat(freshness.isUpToDate(5 * NANOS_PER_SECOND, 5000)).isFalse();
    }

    @Test
    void earlierConfirmationIsIgnored() {
        freshness.recordConfirmation(3 * NANOS_PER_SECOND, 3000);
        freshness.recordConfirmation(NANOS_PER_SECOND, 1000);
        assertThat(freshness.age(4 * NANOS_PER_SECOND)).isEqualTo(Duration.ofSeconds(1));
    }

    @Test
    void clockDifferenceMakesConfigurationStaleUntilTheNextConfirmation() {
        freshness.recordConfirmation(NANOS_PER_SECOND, 1000);
        assertThat(freshness.isUpToDate(2 * NANOS_PER_SECOND, 9000)).isFalse();
        freshness.recordConfirmation(2 * NANOS_PER_SECOND, 9000);
        assertThat(freshness.isUpToDate(3 * NANOS_PER_SECOND, 10_000)).isTrue();
    }
}
