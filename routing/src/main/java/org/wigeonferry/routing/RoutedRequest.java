package org.wigeonferry.routing;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * What routing needs to know of a request, whatever protocol it came by.
 *
 * <p>Immutable and thread safe.
 *
 * @param id identity of one attempt of the caller
 * @param callerTimeout how long the caller waits from the arrival on
 * @param sessionId name that ties requests together
 * @param model the model that the caller names; empty if it leaves the choice to us
 * @param parts parts of the prompt in their order
 * @param promptTokens tokens to read
 * @param maxAnswerTokens most tokens to generate
 * @param resumeAfter id of the last event that the caller has
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
}
