package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class SentPromptTest {
    private static final long NOW_NANOS = 1000 * Fixtures.NANOS_PER_SECOND;

    private final RoutingState state = Fixtures.state(Fixtures.config(1), NOW_NANOS);

    /** The load of sessions that hop between routers: an engine read their prompt for another. */
    @Test
    void promptGoesWhereAnotherRouterSentItsSharedPart() {
        for (String id : List.of("a", "b", "c", "d", "e", "f")) {
            // Each of a release of its own, so that no engine is kept for the other model.
            state.upstreams().put(Fixtures.upstream(id, "model", id, 0), NOW_NANOS);
        }
        List<PromptPart> parts =
                List.of(new PromptPart("shared", 4000), new PromptPart("own", 100));
        for (String id : List.of("d", "b")) {
            state.upstreams().recordPeerPrompt(new SentPrompt(Hashes.key(id), "small", parts));
            RoutedRequest request =
                    new RoutedRequest(
                            "id",
                            "example",
                            "/chat/x",
                            Optional.of("secret"),
                            Optional.empty(),
                            Optional.empty(),
                            Optional.of("small"),
                            parts,
                            4100,
                            10,
                            Optional.empty());
            Job job = Fixtures.admit(state, request, NOW_NANOS);
            assertThat(((Send) Fixtures.place(state, job, NOW_NANOS)).upstream().id())
                    .isEqualTo(id);
        }
    }
}
