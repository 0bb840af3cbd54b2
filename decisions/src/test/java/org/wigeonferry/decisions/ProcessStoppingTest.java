package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonferry.core_types.RefusalReason.SHUTTING_DOWN;
import static org.wigeonferry.decisions.AdmissionFixtures.admissionState;
import static org.wigeonferry.decisions.AdmissionFixtures.order;

import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.Refusal;

class ProcessStoppingTest {
    @Test
    void orderToARunningAgentIsAdmitted() {
        assertThat(ProcessStopping.rule().check(order().build(), admissionState().build()))
                .isEmpty();
    }

    @Test
    void orderToAStoppingAgentIsRefused() {
        assertThat(
                        ProcessStopping.rule()
                                .check(order().build(), admissionState().stopping(true).build()))
                .map(Refusal::reason)
                .contains(SHUTTING_DOWN);
    }
}
