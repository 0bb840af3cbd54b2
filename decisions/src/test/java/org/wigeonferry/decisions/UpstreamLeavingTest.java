package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonferry.core_types.RefusalReason.UPSTREAM_LEAVING;
import static org.wigeonferry.decisions.AdmissionFixtures.order;
import static org.wigeonferry.decisions.AdmissionFixtures.upstream;
import static org.wigeonferry.decisions.AdmissionFixtures.view;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.Refusal;

class UpstreamLeavingTest {
    @Test
    void orderToAnUpstreamInServiceIsAdmitted() {
        assertThat(UpstreamLeaving.rule().check(order().build(), view().build())).isEmpty();
    }

    @Test
    void upstreamConfiguredAsDrainingIsRefused() {
        assertThat(
                        UpstreamLeaving.rule()
                                .check(
                                        order().build(),
                                        view().upstream(
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
        assertThat(UpstreamLeaving.rule().check(order().build(), view().hostDraining(true).build()))
                .map(Refusal::reason)
                .contains(UPSTREAM_LEAVING);
    }
}
