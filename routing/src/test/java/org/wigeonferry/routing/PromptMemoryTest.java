package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class PromptMemoryTest {
    private static final PromptPart SYSTEM = new PromptPart("system", 50);
    private static final PromptPart SUBJECT = new PromptPart("subject", 40);
    private static final PromptPart OWN = new PromptPart("own", 30);

    private final PromptMemory memory = new PromptMemory(100);

    @Test
    void holdsLeadingPartsOfTheSameModel() {
        memory.read("small", List.of(SYSTEM, SUBJECT));
        assertThat(memory.held("small", List.of(SYSTEM, SUBJECT, OWN))).isEqualTo(90);
        assertThat(memory.held("small", List.of(OWN, SYSTEM))).isZero();
        assertThat(memory.held("large", List.of(SYSTEM))).isZero();
    }

    @Test
    void leastRecentlyUsedPartsLeaveFirst() {
        memory.read("small", List.of(SYSTEM, SUBJECT));
        memory.read("small", List.of(OWN));
        assertThat(memory.held("small", List.of(SYSTEM))).isZero();
        assertThat(memory.held("small", List.of(OWN))).isEqualTo(30);
    }
}
