package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonferry.core_types.RefusalReason.SUSPECT_LIMIT;
import static org.wigeonferry.decisions.AdmissionFixtures.admissionState;
import static org.wigeonferry.decisions.AdmissionFixtures.order;

import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.Refusal;

class SecondSuspectedRequestTest {
    @Test
    void firstSuspectedRequestIsAdmitted() {
        assertThat(
                        SecondSuspectedRequest.rule()
                                .check(
                                        order().build(),
                                        admissionState().isSuspected(digest -> true).build()))
                .isEmpty();
    }

    @Test
    void unsuspectedRequestBesideASuspectedOneIsAdmitted() {
        assertThat(
                        SecondSuspectedRequest.rule()
                                .check(
                                        order().build(),
                                        admissionState().suspectedRequestInFlight(true).build()))
                .isEmpty();
    }

    @Test
    void secondSuspectedRequestIsRefused() {
        assertThat(
                        SecondSuspectedRequest.rule()
                                .check(
                                        order().build(),
                                        admissionState()
                                                .isSuspected(digest -> true)
                                                .suspectedRequestInFlight(true)
                                                .build()))
                .map(Refusal::reason)
                .contains(SUSPECT_LIMIT);
    }

    @Test
    void secondRequestSuspectedByItsSenderIsRefused() {
        assertThat(
                        SecondSuspectedRequest.rule()
                                .check(
                                        order().suspected(true).build(),
                                        admissionState().suspectedRequestInFlight(true).build()))
                .map(Refusal::reason)
                .contains(SUSPECT_LIMIT);
    }
}
