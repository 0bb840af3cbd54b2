package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonferry.core_types.RefusalReason.POISON;
import static org.wigeonferry.decisions.AdmissionFixtures.admissionState;
import static org.wigeonferry.decisions.AdmissionFixtures.order;

import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.Refusal;

class PoisonRequestTest {
    @Test
    void unknownDigestIsAdmitted() {
        assertThat(PoisonRequest.rule().check(order().build(), admissionState().build())).isEmpty();
    }

    @Test
    void suspectedDigestIsAdmitted() {
        assertThat(
                        PoisonRequest.rule()
                                .check(
                                        order().build(),
                                        admissionState().isSuspected(digest -> true).build()))
                .isEmpty();
    }

    @Test
    void poisonDigestIsRefused() {
        assertThat(
                        PoisonRequest.rule()
                                .check(
                                        order().requestDigest("d1").build(),
                                        admissionState().isPoison("d1"::equals).build()))
                .map(Refusal::reason)
                .contains(POISON);
    }
}
