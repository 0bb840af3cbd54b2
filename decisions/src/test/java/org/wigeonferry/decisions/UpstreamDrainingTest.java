package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonferry.core_types.RefusalReason.UPSTREAM_LEAVING;
import static org.wigeonferry.decisions.AdmissionFixtures.admissionState;
import static org.wigeonferry.decisions.AdmissionFixtures.order;
import static org.wigeonferry.decisions.AdmissionFixtures.upstream;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.Refusal;

class UpstreamDrainingTest {
    @Test
    void orderToAnUpstreamInServiceIsAdmitted() {
        assertThat(UpstreamDraining.rule().check(order().build(), admissionState().build()))
                .isEmpty();
    }

    @Test
    void upstreamConfiguredAsDrainingIsRefused() {
        assertThat(
                        UpstreamDraining.rule()
                                .check(
                                        order().build(),
                                        admissionState()
                                                .upstream(
                                                        Optional.of(
                                                                upstream().toBuilder()
                                                                        .draining(true)
                                                                        .build()))
                                                .build()))
                .map(Refusal::reason)
                .contains(UPSTREAM_LEAVING);
    }

    @Test
    void hostReportedAsDrainingIsRefused() {
        assertThat(
                        UpstreamDraining.rule()
                                .check(
                                        order().build(),
                                        admissionState().hostDraining(true).build()))
                .map(Refusal::reason)
                .contains(UPSTREAM_LEAVING);
    }
}
