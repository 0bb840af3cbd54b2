package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonferry.core_types.RefusalReason.SUSPECT_LIMIT;
import static org.wigeonferry.decisions.AdmissionFixtures.order;
import static org.wigeonferry.decisions.AdmissionFixtures.view;

import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.Refusal;

class SecondSuspectTest {
    @Test
    void firstSuspectedRequestIsAdmitted() {
        assertThat(
                        SecondSuspect.rule()
                                .check(order().build(), view().isSuspected(digest -> true).build()))
                .isEmpty();
    }

    @Test
    void unsuspectedRequestBesideASuspectedOneIsAdmitted() {
        assertThat(
                        SecondSuspect.rule()
                                .check(order().build(), view().suspectInFlight(true).build()))
                .isEmpty();
    }

    @Test
    void secondSuspectedRequestIsRefused() {
        assertThat(
                        SecondSuspect.rule()
                                .check(
                                        order().build(),
                                        view().isSuspected(digest -> true)
                                                .suspectInFlight(true)
                                                .build()))
                .map(Refusal::reason)
                .contains(SUSPECT_LIMIT);
    }

    @Test
    void secondRequestSuspectedByItsSenderIsRefused() {
        assertThat(
                        SecondSuspect.rule()
                                .check(
                                        order().suspected(true).build(),
                                        view().suspectInFlight(true).build()))
                .map(Refusal::reason)
                .contains(SUSPECT_LIMIT);
    }
}
