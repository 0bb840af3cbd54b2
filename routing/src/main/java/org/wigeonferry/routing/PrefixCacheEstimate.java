package org.wigeonferry.routing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimate of an upstream's prefix cache, from the prompts that this router and the others of its
 * zone sent to it.
 *
 * <p>Invariant: after each {@link #recordPrompt} it holds at most {@code capacityTokens} tokens and
 * {@link #MAX_PARTS} parts; the least recently used parts are evicted first. Owned by the control
 * thread.
 */
final class PrefixCacheEstimate {
    /** Bounds the memory if parts have few tokens, or none. */
    static final int MAX_PARTS = 8192;

    private int capacityTokens;
    private final Map<String, Integer> parts = new LinkedHashMap<>(16, 0.75f, true);
    private long tokens;

    PrefixCacheEstimate(int capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /** Sets the capacity; parts beyond it are evicted by the next {@link #recordPrompt}. */
    void setCapacityTokens(int newCapacityTokens) {
        capacityTokens = newCapacityTokens;
    }

    /** Tokens of the prompt's leading parts that are cached for a model. */
    int cachedTokens(String model, List<PromptPart> prompt) {
        return cachedTokens(keys(model, prompt), prompt);
    }

    /** The keys of a prompt's parts, which are the same for the estimates of all upstreams. */
    static List<String> keys(String model, List<PromptPart> prompt) {
        List<String> keys = new ArrayList<>(prompt.size());
        for (PromptPart part : prompt) {
            keys.add(key(model, part));
        }
        return keys;
    }

    /** Tokens of the prompt's leading parts that are cached, by the keys of the parts. */
    int cachedTokens(List<String> keys, List<PromptPart> prompt) {
        int cached = 0;
        for (int i = 0; i < keys.size() && parts.containsKey(keys.get(i)); i++) {
            cached += prompt.get(i).tokens();
        }
        return cached;
    }

    /** Records that the parts of a prompt are cached, since the prompt is sent to the upstream. */
    void recordPrompt(String model, List<PromptPart> prompt) {
        for (PromptPart part : prompt) {
            Integer previousTokens = parts.put(key(model, part), part.tokens());
            tokens += part.tokens() - (previousTokens == null ? 0 : previousTokens);
        }
        var oldest = parts.entrySet().iterator();
        while ((tokens > capacityTokens || parts.size() > MAX_PARTS) && oldest.hasNext()) {
            tokens -= oldest.next().getValue();
            oldest.remove();
        }
    }

    int partCount() {
        return parts.size();
    }

    private static String key(String model, PromptPart part) {
        return model + '/' + part.id();
    }
}
