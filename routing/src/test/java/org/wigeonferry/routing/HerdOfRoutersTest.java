package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/**
 * Replays 28 routers that have heard the same of twelve nearly equal engines, and place a request
 * each before any hears of the others': all chose the one that seemed a little faster.
 */
class HerdOfRoutersTest {
    private static final int ROUTERS = 28;
    private static final int ENGINES = 12;
    private static final int ROUNDS = 100;
    private static final ReplayTraffic PROMPTS =
            new ReplayTraffic("prompt", "chat", 1, 0, 0, 2000, 0);

    private long nowNanos = Fixtures.NANOS_PER_SECOND;
    private final List<RoutingState> routers = new ArrayList<>();

    private void addRouters() {
        for (int i = 0; i < ROUTERS; i++) {
            RoutingState state = Fixtures.state(Fixtures.config(1), nowNanos);
            for (int engine = 0; engine < ENGINES; engine++) {
                state.upstreams().put(Fixtures.upstream("e" + engine, "model"), nowNanos);
            }
            routers.add(state);
        }
    }

    /** All hear that the first engine is a little faster than the others. */
    private void reportPaces() {
        List<AgedLoad> loads = new ArrayList<>();
        for (int engine = 0; engine < ENGINES; engine++) {
            ReportedLoad load = new ReportedLoad(0, 0, 8, OptionalInt.of(engine == 0 ? 96 : 100));
            loads.add(new AgedLoad(Hashes.key("e" + engine), load, Duration.ZERO));
        }
        routers.forEach(router -> router.upstreams().recordForwardedLoads(loads, nowNanos));
    }

    @Test
    void routersSpreadOverNearlyEqualEngines() {
        addRouters();
        int largest = 0;
        for (int round = 0; round < ROUNDS; round++) {
            nowNanos += Fixtures.NANOS_PER_SECOND / 10;
            reportPaces();
            Map<String, Integer> sends = new HashMap<>();
            for (int i = 0; i < ROUTERS; i++) {
                sends.merge(placeAndEnd(routers.get(i), round + "-" + i), 1, Integer::sum);
            }
            largest += sends.values().stream().mapToInt(n -> n).max().orElseThrow();
        }
        assertThat(largest / (double) ROUNDS).isLessThan(ROUTERS / 3.0);
    }

    private String placeAndEnd(RoutingState router, String id) {
        Fixtures.confirmConfig(router, nowNanos);
        Job job = Fixtures.admit(router, PROMPTS.request(id), nowNanos);
        Send send = (Send) Fixtures.place(router, job, nowNanos);
        long endNanos = nowNanos + 50_000_000;
        ReportedLoad load = new ReportedLoad(0, 0, 8, OptionalInt.of(100));
        router.onResponseHeaders(send, Optional.of(load), endNanos);
        router.onSendEnd(
                job, "content", Fixtures.reportWithHeaders(send, SendOutcome.ANSWERED), endNanos);
        return send.upstream().id();
    }
}
