package org.wigeonferry.routing.room;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against an engine whose memory the routers together fill beyond its capacity, which ends
 * it. The load: a burst without end of long prompts at every router of the engine's zone, while
 * each knows only what the others held a while ago; the routers of other zones use their grants.
 */
class SumsStayBelowCapacityTest {
    private static final int STEPS = 3000;
    private static final int LONG_PROMPT_TOKENS = 12_500;

    /** A step is 10 ms; a router counts what it sent in the last 250 ms as not reported. */
    private static final int RECENT_STEPS = 25;

    private final Random random = new Random(11);
    private final List<Deque<long[]>> sends = new ArrayList<>();
    private final List<Deque<HeldLoad>> history = new ArrayList<>();

    private long recentTokens(int router, int step) {
        return sends.get(router).stream()
                .filter(send -> send[0] > step - RECENT_STEPS)
                .mapToLong(send -> send[1])
                .sum();
    }

    private HeldLoad held(int router, int step) {
        List<long[]> running = sends.get(router).stream().filter(send -> send[2] > step).toList();
        return new HeldLoad(running.size(), running.stream().mapToLong(s -> s[1]).sum());
    }

    private HeldLoad peersOf(int router) {
        int requests = 0;
        long tokens = 0;
        for (int other = 0; other < history.size(); other++) {
            if (other != router) {
                HeldLoad old = history.get(other).getFirst();
                requests += old.requests();
                tokens += old.tokens();
            }
        }
        return new HeldLoad(requests, tokens);
    }

    @ParameterizedTest
    @CsvSource({
        "1, 568461, 48, 12",
        "2, 568461, 48, 12",
        "7, 568461, 48, 12",
        "7, 568461, 48, 3",
        "8, 536138, 64, 12",
        "8, 1200000, 300, 12"
    })
    void tokensOfAllRoutersStayBelowTheCapacity(
            int routers, long capacityTokens, int slots, int reportAgeSteps) {
        UpstreamCapacity capacity = UpstreamCapacity.ofEngine(slots, capacityTokens);
        CapacityDivision division = new CapacityDivision(capacity, true);
        UpstreamRoom room = new UpstreamRoom(division, true, new ZoneRouters(routers, false), 0);
        long granted = division.grants() * division.tokensPerGrant().orElseThrow();
        for (int router = 0; router < routers; router++) {
            sends.add(new ArrayDeque<>());
            history.add(new ArrayDeque<>());
            history.get(router).add(HeldLoad.NONE);
        }
        long most = 0;
        for (int step = 0; step < STEPS; step++) {
            for (int router = 0; router < routers; router++) {
                int now = step;
                sends.get(router).removeIf(send -> send[2] <= now && send[0] <= now - RECENT_STEPS);
                long tokens = random.nextInt(4) == 0 ? 860 : LONG_PROMPT_TOKENS;
                HeldLoad own = held(router, step);
                RoomView view =
                        new RoomView(
                                own,
                                recentTokens(router, step),
                                peersOf(router),
                                HeldLoad.NONE,
                                OptionalInt.empty());
                if (room.fits(view, tokens)) {
                    sends.get(router)
                            .add(new long[] {step, tokens, step + 20 + random.nextInt(400)});
                }
            }
            long sum = granted;
            for (int router = 0; router < routers; router++) {
                HeldLoad own = held(router, step);
                sum += own.tokens();
                history.get(router).addLast(own);
                if (history.get(router).size() > reportAgeSteps) {
                    history.get(router).removeFirst();
                }
            }
            most = Math.max(most, sum);
        }
        assertThat(most).isLessThan(capacityTokens);
        // The memory is used, so that the bound does not hold only because nothing is sent.
        assertThat(most).isGreaterThan(capacityTokens / 2);
    }
}
