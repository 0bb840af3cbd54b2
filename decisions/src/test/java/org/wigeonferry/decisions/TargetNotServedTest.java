package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonferry.core_types.RefusalReason.NOT_SERVED;
import static org.wigeonferry.decisions.AdmissionFixtures.admissionState;
import static org.wigeonferry.decisions.AdmissionFixtures.order;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.Refusal;
import org.wigeonferry.core_types.VersionId;

class TargetNotServedTest {
    @Test
    void servedVersionIsAdmitted() {
        assertThat(TargetNotServed.rule().check(order().build(), admissionState().build()))
                .isEmpty();
    }

    @Test
    void versionNotServedIsRefused() {
        assertThat(
                        TargetNotServed.rule()
                                .check(
                                        order().version(Optional.of(new VersionId("large-1")))
                                                .build(),
                                        admissionState().build()))
                .map(Refusal::reason)
                .contains(NOT_SERVED);
    }

    @Test
    void orderToAnUnlistedUpstreamIsRefused() {
        assertThat(
                        TargetNotServed.rule()
                                .check(
                                        order().build(),
                                        admissionState().upstream(Optional.empty()).build()))
                .map(Refusal::reason)
                .contains(NOT_SERVED);
    }
}
