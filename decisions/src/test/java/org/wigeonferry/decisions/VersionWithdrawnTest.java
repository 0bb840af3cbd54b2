package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonferry.core_types.RefusalReason.VERSION_WITHDRAWN;
import static org.wigeonferry.decisions.AdmissionFixtures.admissionState;
import static org.wigeonferry.decisions.AdmissionFixtures.catalogWithWithdrawnVersion;
import static org.wigeonferry.decisions.AdmissionFixtures.order;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.Refusal;
import org.wigeonferry.core_types.VersionId;

class VersionWithdrawnTest {
    @Test
    void activeVersionIsAdmitted() {
        assertThat(VersionWithdrawn.rule().check(order().build(), admissionState().build()))
                .isEmpty();
    }

    @Test
    void orderForANonModelServiceIsAdmitted() {
        assertThat(
                        VersionWithdrawn.rule()
                                .check(
                                        order().version(Optional.empty()).build(),
                                        admissionState().build()))
                .isEmpty();
    }

    @Test
    void withdrawnVersionIsRefused() {
        assertThat(
                        VersionWithdrawn.rule()
                                .check(
                                        order().build(),
                                        admissionState()
                                                .catalog(catalogWithWithdrawnVersion())
                                                .build()))
                .map(Refusal::reason)
                .contains(VERSION_WITHDRAWN);
    }

    @Test
    void unlistedVersionIsRefused() {
        assertThat(
                        VersionWithdrawn.rule()
                                .check(
                                        order().version(Optional.of(new VersionId("none-1")))
                                                .build(),
                                        admissionState().build()))
                .map(Refusal::reason)
                .contains(VERSION_WITHDRAWN);
    }
}
