package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonferry.core_types.RefusalReason.REVISION_BEHIND;
import static org.wigeonferry.decisions.AdmissionFixtures.admissionState;
import static org.wigeonferry.decisions.AdmissionFixtures.catalog;
import static org.wigeonferry.decisions.AdmissionFixtures.order;

import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.Refusal;
import org.wigeonferry.core_types.Revision;

class RevisionBehindTest {
    @Test
    void orderWithAnOlderRevisionIsAdmitted() {
        assertThat(
                        RevisionBehind.rule()
                                .check(
                                        order().revision(new Revision(1)).build(),
                                        admissionState()
                                                .catalog(
                                                        catalog().toBuilder()
                                                                .revision(new Revision(2))
                                                                .build())
                                                .build()))
                .isEmpty();
    }

    @Test
    void orderWithTheSameRevisionIsAdmitted() {
        assertThat(
                        RevisionBehind.rule()
                                .check(
                                        order().revision(new Revision(1)).build(),
                                        admissionState()
                                                .catalog(
                                                        catalog().toBuilder()
                                                                .revision(new Revision(1))
                                                                .build())
                                                .build()))
                .isEmpty();
    }

    @Test
    void orderWithANewerRevisionIsRefused() {
        assertThat(
                        RevisionBehind.rule()
                                .check(
                                        order().revision(new Revision(3)).build(),
                                        admissionState()
                                                .catalog(
                                                        catalog().toBuilder()
                                                                .revision(new Revision(2))
                                                                .build())
                                                .build()))
                .map(Refusal::reason)
                .contains(REVISION_BEHIND);
    }
}
