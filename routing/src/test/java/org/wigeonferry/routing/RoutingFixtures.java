package org.wigeonferry.routing;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.wigeonferry.core_types.HostAddress;

/** Values that tests of routing share. */
final class RoutingFixtures {
    static final String ZONE = "north";
    static final long SECOND = 1_000_000_000L;
    static final RoutingLimits LIMITS =
            new RoutingLimits(
                    0.5,
                    8,
                    Duration.ofSeconds(10),
                    1,
                    0,
                    0.1,
                    Duration.ofSeconds(5),
                    Duration.ofSeconds(2));

    private RoutingFixtures() {}

    static RoutingState state(RoutingConfig config, long now) {
        RoutingState state =
                new RoutingState(
                        ZONE,
                        LIMITS,
                        new Freshness(Duration.ofSeconds(4), Duration.ofMillis(400)),
                        new ModelCascade(50),
                        () -> 0.5,
                        new LiveEntries("own", Set.of(), 1));
        state.configured(config);
        confirm(state, now);
        return state;
    }

    static void confirm(RoutingState state, long now) {
        state.freshness().confirmed(now, wall(now));
    }

    static long wall(long nanos) {
        return 1_700_000_000_000L + nanos / 1_000_000;
    }

    static RoutingConfig config(long revision) {
        return RoutingConfig.builder(revision)
                .keyed()
                .key("secret", new Account("alice", OptionalInt.empty()))
                .service(new ServiceTraits("desk", 10, Duration.ZERO, 0, Optional.empty()))
                .service(
                        new ServiceTraits(
                                "model",
                                10,
                                Duration.ofSeconds(3),
                                4,
                                Optional.of(
                                        new EngineTraits(
                                                8, 100_000, Map.of("small", 0.1, "large", 1.0)))))
                .route(route("book", RequestKind.UNSAFE, "desk"))
                .route(route("look", RequestKind.SAFE, "desk"))
                .route(route("chat", RequestKind.RESUMABLE_STREAM, "model"))
                .build();
    }

    static Route route(String name, RequestKind kind, String service) {
        return new Route(
                name,
                "example",
                "/" + name + "/",
                kind,
                Duration.ofSeconds(5),
                Duration.ofSeconds(1),
                2,
                0,
                false,
                kind.streamed() ? List.of("small", "large") : List.of(),
                List.of(new WeightedService(service, 1)));
    }

    static RoutedRequest request(String route) {
        return request(route, "id", Optional.empty());
    }

    static RoutedRequest request(String route, String id, Optional<String> session) {
        return new RoutedRequest(
                id,
                "example",
                "/" + route + "/x",
                Optional.of("secret"),
                Optional.of(Duration.ofSeconds(3)),
                session,
                Optional.empty(),
                List.of(),
                100,
                10,
                Optional.empty());
    }

    static Upstream upstream(String id, String service) {
        return upstream(id, service, "v1", 0);
    }

    static Upstream upstream(String id, String service, String release, int coldMillis) {
        return new Upstream(
                new Incarnation(id, 1),
                new HostAddress("127.0.0.1", 1000),
                service,
                ZONE,
                release,
                8,
                false,
                Duration.ofMillis(coldMillis));
    }

    static Job admitted(RoutingState state, RoutedRequest request, long now) {
        return ((Admitted) state.admit(request, now, wall(now))).job();
    }

    static Placement place(RoutingState state, Job job, long now) {
        return state.place(job, "content", now, wall(now));
    }

    static SendReport report(Send send, Outcome outcome) {
        return new SendReport(
                send,
                outcome,
                true,
                Optional.of(Duration.ofMillis(100)),
                Optional.of(Duration.ofMillis(20)));
    }

    static SendReport noAnswer(Send send, Outcome outcome) {
        return new SendReport(send, outcome, false, Optional.empty(), Optional.empty());
    }
}
