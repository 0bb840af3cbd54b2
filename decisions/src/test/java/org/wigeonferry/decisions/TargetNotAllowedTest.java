package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonferry.core_types.RefusalReason.NOT_ALLOWED;
import static org.wigeonferry.decisions.AdmissionFixtures.admissionState;
import static org.wigeonferry.decisions.AdmissionFixtures.order;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.Refusal;
import org.wigeonferry.core_types.ServiceId;
import org.wigeonferry.core_types.VersionId;

class TargetNotAllowedTest {
    @Test
    void allowedVersionIsAdmitted() {
        assertThat(TargetNotAllowed.rule().check(order().build(), admissionState().build()))
                .isEmpty();
    }

    @Test
    void allowedServiceIsAdmitted() {
        assertThat(
                        TargetNotAllowed.rule()
                                .check(
                                        order().version(Optional.empty())
                                                .service(Optional.of(new ServiceId("booking")))
                                                .build(),
                                        admissionState().build()))
                .isEmpty();
    }

    @Test
    void versionNotAllowedIsRefused() {
        assertThat(
                        TargetNotAllowed.rule()
                                .check(
                                        order().version(Optional.of(new VersionId("large-1")))
                                                .build(),
                                        admissionState().build()))
                .map(Refusal::reason)
                .contains(NOT_ALLOWED);
    }

    @Test
    void serviceNotAllowedIsRefused() {
        assertThat(
                        TargetNotAllowed.rule()
                                .check(
                                        order().version(Optional.empty())
                                                .service(Optional.of(new ServiceId("deposit")))
                                                .build(),
                                        admissionState().build()))
                .map(Refusal::reason)
                .contains(NOT_ALLOWED);
    }

    @Test
    void unknownAccountIsRefused() {
        assertThat(
                        TargetNotAllowed.rule()
                                .check(
                                        order().account(new AccountId("stranger")).build(),
                                        admissionState().build()))
                .map(Refusal::reason)
                .contains(NOT_ALLOWED);
    }
}
