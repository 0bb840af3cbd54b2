package org.wigeonferry.routing;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The properties of a client request that routing depends on, independent of its protocol.
 *
 * <p>Immutable and thread safe.
 *
 * @param id request id, which the answer repeats; a retry by the caller has another one
 * @param key API key that the request carries
 * @param callerTimeout how long the caller waits, from the arrival of the request
 * @param sessionId id that the caller gives to related requests
 * @param model the model that the caller asks for; empty if the router may choose
 * @param parts parts of the prompt, in order
 * @param promptTokens number of tokens in the prompt
 * @param maxAnswerTokens largest number of tokens to generate
 * @param resumeAfter id of the last event of the stream that the caller has received
 */
public record RoutedRequest(
        String id,
        String host,
        String path,
        Optional<String> key,
        Optional<Duration> callerTimeout,
        Optional<String> sessionId,
        Optional<String> model,
        List<PromptPart> parts,
        int promptTokens,
        int maxAnswerTokens,
        Optional<String> resumeAfter) {
    public RoutedRequest {
        parts = List.copyOf(parts);
    }

    /** The last part that other prompts may share; the last part of a prompt is its own. */
    Optional<PromptPart> sharedPart() {
        return parts.size() < 2 ? Optional.empty() : Optional.of(parts.get(parts.size() - 2));
    }

    /** Tokens of the prompt and of the longest answer; the greatest number if they are more. */
    int maxTokens() {
        return (int) Math.min(Integer.MAX_VALUE, (long) promptTokens + maxAnswerTokens);
    }
}
