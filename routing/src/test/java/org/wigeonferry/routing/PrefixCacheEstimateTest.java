package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class PrefixCacheEstimateTest {
    private static final PromptPart SYSTEM = new PromptPart("system", 50);
    private static final PromptPart SUBJECT = new PromptPart("subject", 40);
    private static final PromptPart QUESTION = new PromptPart("own", 30);

    private final PrefixCacheEstimate cache = new PrefixCacheEstimate(100);

    @Test
    void countsLeadingPartsThatAreCachedForTheSameModel() {
        cache.recordPrompt("small", List.of(SYSTEM, SUBJECT));
        assertThat(cache.cachedTokens("small", List.of(SYSTEM, SUBJECT, QUESTION))).isEqualTo(90);
        assertThat(cache.cachedTokens("small", List.of(QUESTION, SYSTEM))).isZero();
        assertThat(cache.cachedTokens("large", List.of(SYSTEM))).isZero();
    }

    @Test
    void partsWithoutTokensAreBounded() {
        for (int i = 0; i <= PrefixCacheEstimate.MAX_PARTS; i++) {
            cache.recordPrompt("small", List.of(new PromptPart("empty" + i, 0), SYSTEM));
        }
        List<PromptPart> first = List.of(SYSTEM, new PromptPart("empty0", 0));
        assertThat(cache.partCount()).isEqualTo(PrefixCacheEstimate.MAX_PARTS);
        assertThat(cache.cachedTokens("small", first)).isEqualTo(50);
    }

    @Test
    void leastRecentlyUsedPartsAreEvictedFirst() {
        cache.recordPrompt("small", List.of(SYSTEM, SUBJECT));
        cache.recordPrompt("small", List.of(QUESTION));
        assertThat(cache.cachedTokens("small", List.of(SYSTEM))).isZero();
        assertThat(cache.cachedTokens("small", List.of(QUESTION))).isEqualTo(30);
    }
}
