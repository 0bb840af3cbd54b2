package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonferry.core_types.RefusalReason.COLD_START_LIMIT;
import static org.wigeonferry.core_types.RefusalReason.CONCURRENCY_LIMIT;
import static org.wigeonferry.decisions.AdmissionFixtures.admissionState;
import static org.wigeonferry.decisions.AdmissionFixtures.order;

import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.Refusal;

class LimitReachedTest {
    @Test
    void orderBelowTheLimitIsAdmitted() {
        assertThat(
                        LimitReached.rule()
                                .check(
                                        order().build(),
                                        admissionState()
                                                .concurrencyLimit(4)
                                                .attemptsInFlight(3)
                                                .build()))
                .isEmpty();
    }

    @Test
    void orderAtTheMaximumIsRefused() {
        assertThat(
                        LimitReached.rule()
                                .check(
                                        order().build(),
                                        admissionState()
                                                .concurrencyLimit(8)
                                                .attemptsInFlight(8)
                                                .build()))
                .map(Refusal::reason)
                .contains(CONCURRENCY_LIMIT);
    }

    @Test
    void orderAtALimitBelowTheMaximumIsRefusedAsColdStart() {
        assertThat(
                        LimitReached.rule()
                                .check(
                                        order().build(),
                                        admissionState()
                                                .concurrencyLimit(2)
                                                .attemptsInFlight(2)
                                                .build()))
                .map(Refusal::reason)
                .contains(COLD_START_LIMIT);
    }
}
