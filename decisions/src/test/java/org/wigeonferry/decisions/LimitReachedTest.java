package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonferry.core_types.RefusalReason.COLD_START_LIMIT;
import static org.wigeonferry.core_types.RefusalReason.CONCURRENCY_LIMIT;
import static org.wigeonferry.decisions.AdmissionFixtures.order;
import static org.wigeonferry.decisions.AdmissionFixtures.view;

import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.Refusal;

class LimitReachedTest {
    @Test
    void orderBelowTheLimitIsAdmitted() {
        assertThat(
                        LimitReached.rule()
                                .check(
                                        order().build(),
                                        view().concurrencyLimit(4).inFlight(3).build()))
                .isEmpty();
    }

    @Test
    void orderAtTheMaximumIsRefused() {
        assertThat(
                        LimitReached.rule()
                                .check(
                                        order().build(),
                                        view().concurrencyLimit(8).inFlight(8).build()))
                .map(Refusal::reason)
                .contains(CONCURRENCY_LIMIT);
    }

    @Test
    void orderAtALimitBelowTheMaximumIsRefusedAsColdStart() {
        assertThat(
                        LimitReached.rule()
                                .check(
                                        order().build(),
                                        view().concurrencyLimit(2).inFlight(2).build()))
                .map(Refusal::reason)
                .contains(COLD_START_LIMIT);
    }
}
