package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Replays the load of eight routers before the same ten engines, which read one prompt after the
 * other. Each router sees an eighth of the sends; placed by its own sends alone, prompts queue at
 * some engines while others are idle.
 */
class ManyRoutersPlacementTest {
    private static final int ROUTERS = 8;
    private static final int ENGINES = 10;
    private static final int REQUESTS = 4000;
    private static final int PROMPT_TOKENS = 4000;
    private static final long NANOS_PER_TOKEN = 80_000;

    /** Load at which the engines read prompts for half of the time. */
    private static final long MEAN_GAP_NANOS = 2 * NANOS_PER_TOKEN * PROMPT_TOKENS / ENGINES;

    private static final long START_NANOS = Fixtures.NANOS_PER_SECOND;

    private final List<RoutingState> routers = new ArrayList<>();
    private final long[] engineFreeNanos = new long[ENGINES];
    private final List<PlacedSend> unread = new ArrayList<>();

    private double[] waitsInMillis(boolean exchangeReports) {
        for (int i = 0; i < ROUTERS; i++) {
            RoutingState state = Fixtures.state(Fixtures.config(1), START_NANOS);
            for (int engine = 0; engine < ENGINES; engine++) {
                state.upstreams().put(Fixtures.upstream("e" + engine, "model"), START_NANOS);
            }
            routers.add(state);
        }
        Random random = new Random(17);
        double[] waits = new double[REQUESTS];
        long nowNanos = START_NANOS;
        long sequence = 0;
        for (int i = 0; i < REQUESTS; i++) {
            nowNanos += (long) (-Math.log(1 - random.nextDouble()) * MEAN_GAP_NANOS);
            endReadUntil(nowNanos);
            waits[i] = place(routers.get(random.nextInt(ROUTERS)), i, nowNanos) / 1e6;
            if (exchangeReports) {
                sequence++;
                exchange(sequence, nowNanos);
            }
        }
        Arrays.sort(waits);
        return waits;
    }

    private long place(RoutingState router, int number, long nowNanos) {
        Fixtures.confirmConfig(router, nowNanos);
        RoutedRequest request =
                new RoutedRequest(
                        "id" + number,
                        "example",
                        "/chat/x",
                        Optional.of("secret"),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.of("large"),
                        List.of(),
                        PROMPT_TOKENS,
                        10,
                        Optional.empty());
        Job job = Fixtures.admit(router, request, nowNanos);
        Send send = (Send) Fixtures.place(router, job, nowNanos);
        int engine = Integer.parseInt(send.upstream().id().substring(1));
        long startNanos = Math.max(nowNanos, engineFreeNanos[engine]);
        engineFreeNanos[engine] = startNanos + PROMPT_TOKENS * NANOS_PER_TOKEN;
        unread.add(new PlacedSend(router, job, send, engineFreeNanos[engine]));
        return startNanos - nowNanos;
    }

    private void endReadUntil(long nowNanos) {
        unread.removeIf(
                placed -> {
                    if (placed.readNanos() > nowNanos) {
                        return false;
                    }
                    placed.router()
                            .onResponseHeaders(placed.send(), Optional.empty(), placed.readNanos());
                    placed.router()
                            .onSendEnd(
                                    placed.job(),
                                    "content",
                                    Fixtures.reportWithHeaders(placed.send(), SendOutcome.ANSWERED),
                                    placed.readNanos());
                    return true;
                });
    }

    /** Large sends are reported at once. */
    private void exchange(long sequence, long nowNanos) {
        for (int from = 0; from < ROUTERS; from++) {
            List<OwnLoad> loads = routers.get(from).ownLoads();
            for (int to = 0; to < ROUTERS; to++) {
                if (to != from) {
                    routers.get(to).peerLoads().apply("r" + from, sequence, loads, nowNanos);
                }
            }
        }
    }

    @Test
    void reportsOfOtherRoutersKeepPromptsFromQueueing() {
        double[] waits = waitsInMillis(true);
        assertThat(waits[REQUESTS / 2]).isZero();
        assertThat(waits[REQUESTS * 95 / 100]).isLessThan(PROMPT_TOKENS * NANOS_PER_TOKEN / 1e6);
    }

    @Test
    void withoutReportsPromptsQueueWhileEnginesAreIdle() {
        double[] waits = waitsInMillis(false);
        assertThat(waits[REQUESTS * 95 / 100])
                .isGreaterThan(2 * PROMPT_TOKENS * NANOS_PER_TOKEN / 1e6);
    }
}
