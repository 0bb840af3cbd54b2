package org.wigeonferry.router;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.routing.Account;
import org.wigeonferry.routing.EngineTraits;
import org.wigeonferry.routing.Incarnation;
import org.wigeonferry.routing.RequestKind;
import org.wigeonferry.routing.Route;
import org.wigeonferry.routing.RoutingConfig;
import org.wigeonferry.routing.RoutingConfigBuilder;
import org.wigeonferry.routing.ServiceTraits;
import org.wigeonferry.routing.UpstreamInstance;
import org.wigeonferry.routing.WeightedService;

/** Configuration and upstreams of {@link PressureFleet}. */
final class PressureConfig {
    static final int SLOTS = 16;

    private PressureConfig() {}

    static UpstreamInstance upstream(String id) {
        return new UpstreamInstance(
                new Incarnation(id, 1),
                new HostAddress("127.0.0.1", 1000),
                "service",
                id.substring(0, id.lastIndexOf('-')),
                "v1",
                SLOTS,
                false,
                Duration.ZERO);
    }

    static RoutingConfig config(long capacityTokens) {
        RoutingConfigBuilder builder =
                RoutingConfig.builder(1)
                        .requireKeys()
                        .addService(
                                new ServiceTraits(
                                        "service",
                                        100,
                                        Duration.ZERO,
                                        0,
                                        Optional.of(
                                                new EngineTraits(
                                                        SLOTS,
                                                        (int) capacityTokens,
                                                        Map.of("model", 1.0)))))
                        .addRoute(
                                new Route(
                                        "chat",
                                        "example",
                                        "/chat/",
                                        RequestKind.RESUMABLE_STREAM,
                                        Duration.ofSeconds(10),
                                        PressureFleet.OBJECTIVE,
                                        Duration.ofSeconds(1),
                                        2,
                                        1,
                                        false,
                                        List.of("model"),
                                        List.of(new WeightedService("service", 1))));
        for (int i = 0; i < PressureFleet.ACCOUNTS; i++) {
            builder.addKey("a" + i, new Account("a" + i, OptionalInt.empty()));
        }
        builder.addKey(
                PressureFleet.URGENT_ACCOUNT,
                new Account(PressureFleet.URGENT_ACCOUNT, OptionalInt.of(0)));
        return builder.build();
    }
}
