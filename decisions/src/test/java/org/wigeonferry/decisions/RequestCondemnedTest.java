package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;
import static org.wigeonferry.core_types.RefusalReason.POISON;
import static org.wigeonferry.decisions.GateFixtures.order;
import static org.wigeonferry.decisions.GateFixtures.view;

import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.Refusal;

class RequestCondemnedTest {
    @Test
    void unknownDigest() {
        assertThat(RequestCondemned.rule().check(order().build(), view().build())).isEmpty();
    }

    @Test
    void suspectedOnly() {
        assertThat(
                        RequestCondemned.rule()
                                .check(order().build(), view().suspected(digest -> true).build()))
                .isEmpty();
    }

    @Test
    void condemnedDigestIsRefused() {
        assertThat(
                        RequestCondemned.rule()
                                .check(
                                        order().digest("d1").build(),
                                        view().condemned("d1"::equals).build()))
                .map(Refusal::reason)
                .contains(POISON);
    }
}
