package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonferry.core_types.RefusalReason.NODE_STALE;
import static org.wigeonferry.decisions.AdmissionFixtures.order;
import static org.wigeonferry.decisions.AdmissionFixtures.view;

import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.Refusal;

class NodeStaleTest {
    @Test
    void freshConfigurationIsAdmitted() {
        assertThat(NodeStale.rule().check(order().build(), view().configUpToDate(true).build()))
                .isEmpty();
    }

    @Test
    void staleConfigurationIsRefused() {
        assertThat(NodeStale.rule().check(order().build(), view().configUpToDate(false).build()))
                .map(Refusal::reason)
                .contains(NODE_STALE);
    }
}
