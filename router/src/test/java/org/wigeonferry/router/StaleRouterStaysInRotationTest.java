package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wigeonferry.routing.Account;
import org.wigeonferry.routing.RequestKind;
import org.wigeonferry.routing.Route;
import org.wigeonferry.routing.RoutingConfig;
import org.wigeonferry.routing.RoutingConfigBuilder;
import org.wigeonferry.routing.WeightedService;
import org.wigeonferry.stand_ins.VirtualControl;
import org.wigeonferry.stand_ins.VirtualTime;

/**
 * A router that the store turns away, while it serves the others, refuses every request with a key
 * once its configuration is stale. It must then fail its readiness checks, so that the load
 * balancer sends callers to routers that can serve them.
 */
class StaleRouterStaysInRotationTest {
    private static final Duration LONGER_THAN_FRESHNESS = Duration.ofMinutes(6);

    private final VirtualTime time = new VirtualTime();
    private final VirtualControl control = new VirtualControl(time);
    private RouterControl router;

    @BeforeEach
    void start() {
        router =
                new RouterControl(
                        "router",
                        control,
                        RoutingStates.empty(),
                        Optional.empty(),
                        new StoreReporters(
                                report -> {},
                                (order, next, known) -> {},
                                (order, known, now) -> {}));
        router.onAllUpstreamsRead();
    }

    @Test
    void staleRouterIsNotReadyUntilItsConfigurationIsConfirmed() {
        router.onConfiguration(configWithKeys());
        confirm();
        assertThat(router.isReady(wallMillis())).isTrue();
        time.run(LONGER_THAN_FRESHNESS);
        assertThat(router.isReady(wallMillis())).isFalse();
        confirm();
        assertThat(router.isReady(wallMillis())).isTrue();
    }

    @Test
    void routerWithoutKeysStaysReady() {
        router.onConfiguration(RouterControlTest.config());
        confirm();
        time.run(LONGER_THAN_FRESHNESS);
        assertThat(router.isReady(wallMillis())).isTrue();
    }

    private void confirm() {
        router.onConfigurationConfirmed(control.nanoTime(), wallMillis());
    }

    private long wallMillis() {
        return control.nanoTime() / 1_000_000;
    }

    private static RoutingConfig configWithKeys() {
        RoutingConfigBuilder builder =
                RoutingConfig.builder(1)
                        .requireKeys()
                        .addKey("secret", new Account("alice", OptionalInt.empty()));
        return builder.addRoute(
                        new Route(
                                "desk",
                                "example",
                                "/desk/",
                                RequestKind.SAFE,
                                Duration.ofSeconds(5),
                                Duration.ofSeconds(1),
                                Duration.ofSeconds(1),
                                2,
                                0,
                                false,
                                List.of(),
                                List.of(new WeightedService("desk", 1))))
                .build();
    }
}
