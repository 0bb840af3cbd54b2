package org.wigeonferry.routing;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.wigeonferry.core_types.HostAddress;

/** Values and factories that the tests of routing share. */
final class Fixtures {
    static final String ZONE = "north";
    static final long NANOS_PER_SECOND = 1_000_000_000L;

    /**
     * Allows half a retry for each first send and 8 more within 10 s, and no more than the
     * configured rate to cold upstreams. A new release gets a tenth of the requests, a session
     * lasts 5 s, and the grace period after an outage 2 s.
     */
    static final RoutingLimits LIMITS = limits(0);

    private Fixtures() {}

    /**
     * The same with hedged sends.
     *
     * @param hedgedSendShare hedged sends allowed for each first send
     */
    static RoutingLimits limits(double hedgedSendShare) {
        return new RoutingLimits(
                0.5,
                8,
                Duration.ofSeconds(10),
                1,
                0,
                0.1,
                2,
                hedgedSendShare,
                Duration.ofSeconds(5),
                Duration.ofSeconds(2));
    }

    static RoutingState state(RoutingConfig config, long nowNanos) {
        return state(config, LIMITS, nowNanos);
    }

    static RoutingState state(RoutingConfig config, RoutingLimits limits, long nowNanos) {
        RoutingState state =
                new RoutingState(
                        ZONE,
                        limits,
                        new Freshness(Duration.ofSeconds(4), Duration.ofMillis(400)),
                        new ModelCascade(50),
                        () -> 0.5,
                        new LiveRouters("own", Set.of(), 1));
        state.updateConfig(config);
        state.rollOuts().onStoredRecordRead();
        confirmConfig(state, nowNanos);
        return state;
    }

    static void confirmConfig(RoutingState state, long nowNanos) {
        state.freshness().recordConfirmation(nowNanos, wallMillis(nowNanos));
    }

    /** The time of day that the tests use for a time in nanoseconds. */
    static long wallMillis(long nowNanos) {
        return 1_700_000_000_000L + nowNanos / 1_000_000;
    }

    static RoutingConfig config(long revision) {
        return RoutingConfig.builder(revision)
                .requireKeys()
                .addKey("secret", new Account("alice", OptionalInt.empty()))
                .addService(new ServiceTraits("desk", 10, Duration.ZERO, 0, Optional.empty()))
                .addService(
                        new ServiceTraits(
                                "model",
                                10,
                                Duration.ofSeconds(3),
                                4,
                                Optional.of(
                                        new EngineTraits(
                                                8, 100_000, Map.of("small", 0.1, "large", 1.0)))))
                .addRoute(route("book", RequestKind.UNSAFE, "desk"))
                .addRoute(route("look", RequestKind.SAFE, "desk"))
                .addRoute(route("chat", RequestKind.RESUMABLE_STREAM, "model"))
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
                Duration.ofSeconds(1),
                2,
                0,
                false,
                kind.isStreamed() ? List.of("small", "large") : List.of(),
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

    static UpstreamInstance upstream(String id, String service) {
        return upstream(id, service, "v1", 0);
    }

    static UpstreamInstance upstream(String id, String service, String release, int coldMillis) {
        return new UpstreamInstance(
                new Incarnation(id, 1),
                new HostAddress("127.0.0.1", 1000),
                service,
                ZONE,
                release,
                8,
                false,
                Duration.ofMillis(coldMillis));
    }

    static Job admit(RoutingState state, RoutedRequest request, long nowNanos) {
        return ((Admitted) state.admit(request, nowNanos, wallMillis(nowNanos))).job();
    }

    static PlacementResult place(RoutingState state, Job job, long nowNanos) {
        return state.routeJob(job, "content", nowNanos, wallMillis(nowNanos));
    }

    static SendReport reportWithHeaders(Send send, SendOutcome outcome) {
        return new SendReport(
                send,
                outcome,
                true,
                Optional.of(Duration.ofMillis(100)),
                Optional.of(Duration.ofMillis(20)));
    }

    static SendReport reportWithoutHeaders(Send send, SendOutcome outcome) {
        return new SendReport(send, outcome, false, Optional.empty(), Optional.empty());
    }
}
