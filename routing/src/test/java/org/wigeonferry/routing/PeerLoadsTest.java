package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class PeerLoadsTest {
    private static final long SECOND = Fixtures.NANOS_PER_SECOND;

    private final PeerLoads loads = new PeerLoads();

    @Test
    void laterReportReplacesTheOneBefore() {
        loads.apply("a", 1, List.of(new OwnLoad(7, 100, 2, 900)), 0);
        loads.apply("b", 1, List.of(new OwnLoad(7, 50, 1, 400)), 0);
        loads.apply("a", 2, List.of(new OwnLoad(8, 30, 1, 200)), 0);
        assertThat(loads.queuedTokens(7)).isEqualTo(50);
        assertThat(loads.runningSends(7)).isEqualTo(1);
        assertThat(loads.heldTokens(7)).isEqualTo(400);
        assertThat(loads.queuedTokens(8)).isEqualTo(30);
    }

    @Test
    void reportThatArrivesLateIsIgnored() {
        loads.apply("a", 2, List.of(new OwnLoad(7, 100, 2, 0)), 0);
        loads.apply("a", 1, List.of(new OwnLoad(7, 5, 1, 0)), 0);
        assertThat(loads.queuedTokens(7)).isEqualTo(100);
    }

    /** A router that is gone, or cut off, must not hold back its share of an upstream for ever. */
    @Test
    void reportOfASilentRouterExpires() {
        loads.apply("a", 1, List.of(new OwnLoad(7, 100, 2, 0)), 0);
        loads.expire(SECOND / 2);
        assertThat(loads.queuedTokens(7)).isEqualTo(100);
        loads.expire(2 * SECOND);
        assertThat(loads.queuedTokens(7)).isZero();
        loads.apply("a", 1, List.of(new OwnLoad(7, 9, 1, 0)), 2 * SECOND);
        assertThat(loads.queuedTokens(7)).isEqualTo(9);
    }

    @Test
    void numberOfRoutersIsBounded() {
        for (int i = 0; i < 2 * PeerLoads.MAX_ROUTERS; i++) {
            loads.apply("r" + i, 1, List.of(new OwnLoad(7, 1, 1, 0)), 0);
        }
        assertThat(loads.queuedTokens(7)).isEqualTo(PeerLoads.MAX_ROUTERS);
        loads.apply("r0", 2, List.of(new OwnLoad(7, 11, 1, 0)), 0);
        assertThat(loads.queuedTokens(7)).isEqualTo(PeerLoads.MAX_ROUTERS + 10);
    }

    /** Against a model that adds up the last reports anew each time. */
    @Test
    void sumsAreThoseOfTheLastReports() {
        for (long seed = 0; seed < 20; seed++) {
            Random random = new Random(seed);
            PeerLoads sums = new PeerLoads();
            Map<Integer, List<OwnLoad>> last = new HashMap<>();
            for (int step = 1; step < 300; step++) {
                List<OwnLoad> report = new ArrayList<>();
                for (int upstream = 0; upstream < 5; upstream++) {
                    if (random.nextBoolean()) {
                        report.add(
                                new OwnLoad(upstream, random.nextInt(100), random.nextInt(3), 0));
                    }
                }
                int router = random.nextInt(4);
                last.put(router, report);
                sums.apply("r" + router, step, report, 0);
                int upstream = random.nextInt(5);
                int expected =
                        last.values().stream()
                                .flatMap(List::stream)
                                .filter(load -> load.upstreamKey() == upstream)
                                .mapToInt(OwnLoad::queuedTokens)
                                .sum();
                assertThat(sums.queuedTokens(upstream)).as("seed %d", seed).isEqualTo(expected);
            }
        }
    }
}
