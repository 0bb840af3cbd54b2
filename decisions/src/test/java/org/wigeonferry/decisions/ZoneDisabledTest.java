package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonferry.core_types.RefusalReason.ZONE_OUT;
import static org.wigeonferry.decisions.AdmissionFixtures.admissionState;
import static org.wigeonferry.decisions.AdmissionFixtures.catalogWithDisabledZone;
import static org.wigeonferry.decisions.AdmissionFixtures.order;

import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.Refusal;

class ZoneDisabledTest {
    @Test
    void orderInAnEnabledZoneIsAdmitted() {
        assertThat(ZoneDisabled.rule().check(order().build(), admissionState().build())).isEmpty();
    }

    @Test
    void orderIsAdmittedWhileAnotherZoneIsDisabled() {
        assertThat(
                        ZoneDisabled.rule()
                                .check(
                                        order().build(),
                                        admissionState()
                                                .catalog(catalogWithDisabledZone("oyo-town"))
                                                .build()))
                .isEmpty();
    }

    @Test
    void orderInADisabledZoneIsRefused() {
        assertThat(
                        ZoneDisabled.rule()
                                .check(
                                        order().build(),
                                        admissionState()
                                                .catalog(catalogWithDisabledZone("ibadan"))
                                                .build()))
                .map(Refusal::reason)
                .contains(ZONE_OUT);
    }
}
