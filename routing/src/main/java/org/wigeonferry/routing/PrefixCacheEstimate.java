package org.wigeonferry.routing;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What one upstream probably holds of the prompts that this entry sent to it.
 *
 * <p>Invariant: at most {@code capacityTokens} tokens, the least recently used parts leave first.
 * Owned by the control thread.
 */
final class PrefixCacheEstimate {
    private int capacityTokens;
    private final Map<String, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);
    private long tokens;

    PrefixCacheEstimate(int capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /** Changes the capacity; what is held beyond it leaves when the next prompt is read. */
    void setCapacityTokens(int value) {
        capacityTokens = value;
    }

    /** Tokens of the leading parts that are held for a model. */
    int cachedTokens(String model, List<PromptPart> prompt) {
        int held = 0;
        for (PromptPart part : prompt) {
            if (!parts.containsKey(key(model, part))) {
                return held;
            }
            held += part.tokens();
        }
        return held;
    }

    /** Notes that a prompt was read. */
    void recordPrompt(String model, List<PromptPart> prompt) {
        for (PromptPart part : prompt) {
            Integer before = parts.put(key(model, part), part.tokens());
            tokens += part.tokens() - (before == null ? 0 : before);
        }
        var oldest = parts.entrySet().iterator();
        while (tokens > capacityTokens && oldest.hasNext()) {
            tokens -= oldest.next().getValue();
            oldest.remove();
        }
    }

    private static String key(String model, PromptPart part) {
        return model + '/' + part.id();
    }
}
