package org.wigeonferry.routing;

import java.util.List;
import java.util.Optional;

/**
 * Requests of one kind in a {@link FleetReplay}.
 *
 * @param fixedNanos work of an upstream of relative time 1, without tokens
 * @param nanosPerToken additional work for each uncached prompt token
 * @param sharedTokens tokens of the prompt part that all requests of the kind share
 */
record ReplayTraffic(
        String name,
        String route,
        double perSecond,
        long fixedNanos,
        double nanosPerToken,
        int promptTokens,
        int sharedTokens) {
    RoutedRequest request(String id) {
        List<PromptPart> parts =
                promptTokens == 0
                        ? List.of()
                        : List.of(
                                new PromptPart("shared-" + name, sharedTokens),
                                new PromptPart(id, promptTokens - sharedTokens));
        return new RoutedRequest(
                id,
                "example",
                "/" + route + "/x",
                Optional.of("secret"),
                Optional.empty(),
                Optional.empty(),
                promptTokens == 0 ? Optional.empty() : Optional.of("large"),
                parts,
                promptTokens,
                10,
                Optional.empty());
    }
}
