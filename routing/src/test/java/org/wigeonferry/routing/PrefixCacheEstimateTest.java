package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class PrefixCacheEstimateTest {
    private static final PromptPart SYSTEM = new PromptPart("system", 50);
    private static final PromptPart SUBJECT = new PromptPart("subject", 40);
    private static final PromptPart OWN = new PromptPart("own", 30);

    private final PrefixCacheEstimate memory = new PrefixCacheEstimate(100);

    @Test
    void holdsLeadingPartsOfTheSameModel() {
        memory.recordPrompt("small", List.of(SYSTEM, SUBJECT));
        assertThat(memory.cachedTokens("small", List.of(SYSTEM, SUBJECT, OWN))).isEqualTo(90);
        assertThat(memory.cachedTokens("small", List.of(OWN, SYSTEM))).isZero();
        assertThat(memory.cachedTokens("large", List.of(SYSTEM))).isZero();
    }

    @Test
    void leastRecentlyUsedPartsLeaveFirst() {
        memory.recordPrompt("small", List.of(SYSTEM, SUBJECT));
        memory.recordPrompt("small", List.of(OWN));
        assertThat(memory.cachedTokens("small", List.of(SYSTEM))).isZero();
        assertThat(memory.cachedTokens("small", List.of(OWN))).isEqualTo(30);
    }
}
