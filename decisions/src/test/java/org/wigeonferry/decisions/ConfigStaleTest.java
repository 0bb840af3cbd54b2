package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonferry.core_types.RefusalReason.NODE_STALE;
import static org.wigeonferry.decisions.AdmissionFixtures.admissionState;
import static org.wigeonferry.decisions.AdmissionFixtures.order;

import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.Refusal;

class ConfigStaleTest {
    @Test
    void orderIsAdmittedWhileTheConfigurationIsUpToDate() {
        assertThat(
                        ConfigStale.rule()
                                .check(
                                        order().build(),
                                        admissionState().configUpToDate(true).build()))
                .isEmpty();
    }

    @Test
    void orderIsRefusedWhileTheConfigurationIsStale() {
        assertThat(
                        ConfigStale.rule()
                                .check(
                                        order().build(),
                                        admissionState().configUpToDate(false).build()))
                .map(Refusal::reason)
                .contains(NODE_STALE);
    }
}
