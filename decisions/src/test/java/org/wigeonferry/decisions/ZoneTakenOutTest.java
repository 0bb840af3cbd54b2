package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonferry.core_types.RefusalReason.ZONE_OUT;
import static org.wigeonferry.decisions.AdmissionFixtures.catalogWithDisabledZone;
import static org.wigeonferry.decisions.AdmissionFixtures.order;
import static org.wigeonferry.decisions.AdmissionFixtures.view;

import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.Refusal;

class ZoneTakenOutTest {
    @Test
    void orderInAnEnabledZoneIsAdmitted() {
        assertThat(ZoneTakenOut.rule().check(order().build(), view().build())).isEmpty();
    }

    @Test
    void orderIsAdmittedWhileAnotherZoneIsDisabled() {
        assertThat(
                        ZoneTakenOut.rule()
                                .check(
                                        order().build(),
                                        view().catalog(catalogWithDisabledZone("oyo-town"))
                                                .build()))
                .isEmpty();
    }

    @Test
    void orderInADisabledZoneIsRefused() {
        assertThat(
                        ZoneTakenOut.rule()
                                .check(
                                        order().build(),
                                        view().catalog(catalogWithDisabledZone("ibadan")).build()))
                .map(Refusal::reason)
                .contains(ZONE_OUT);
    }
}
