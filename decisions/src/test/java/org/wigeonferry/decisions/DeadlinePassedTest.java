package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonferry.core_types.RefusalReason.DEADLINE_PASSED;
import static org.wigeonferry.decisions.AdmissionFixtures.admissionState;
import static org.wigeonferry.decisions.AdmissionFixtures.order;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.Refusal;

class DeadlinePassedTest {
    @Test
    void orderWithTimeLeftIsAdmitted() {
        assertThat(
                        DeadlinePassed.rule()
                                .check(
                                        order().timeLeft(Duration.ofMillis(1)).build(),
                                        admissionState().build()))
                .isEmpty();
    }

    @Test
    void orderWithNoTimeLeftIsRefused() {
        assertThat(
                        DeadlinePassed.rule()
                                .check(
                                        order().timeLeft(Duration.ZERO).build(),
                                        admissionState().build()))
                .map(Refusal::reason)
                .contains(DEADLINE_PASSED);
    }

    @Test
    void orderPastItsDeadlineIsRefused() {
        assertThat(
                        DeadlinePassed.rule()
                                .check(
                                        order().timeLeft(Duration.ofMillis(-1)).build(),
                                        admissionState().build()))
                .map(Refusal::reason)
                .contains(DEADLINE_PASSED);
    }
}
