package org.wigeonferry.routing;

import java.util.List;

/**
 * A prompt that a router sent to an upstream.
 *
 * <p>Immutable and thread safe.
 *
 * @param upstreamKey {@link Hashes#key} of the upstream's id
 */
public record SentPrompt(int upstreamKey, String model, List<PromptPart> parts) {
    public SentPrompt {
        parts = List.copyOf(parts);
    }

    /** The prompt of a send to a model. */
    public static SentPrompt of(Send send, String model, List<PromptPart> parts) {
        return new SentPrompt(Hashes.key(send.upstream().id()), model, parts);
    }
}
