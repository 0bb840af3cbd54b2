package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards against the completion of a release that fails under load only, as its share of the
 * requests never loaded it. The load: steady requests without sessions.
 */
class ReleaseBadUnderLoadCompletedTest {
    private static final long START_NANOS = 1000 * Fixtures.NANOS_PER_SECOND;
    private static final long STEP_NANOS = Fixtures.NANOS_PER_SECOND / 50;
    private static final int REQUESTS = 900;

    /** Requests in 0.3 s. */
    private static final int WINDOW = 15;

    private final RoutingState state = Fixtures.state(Fixtures.config(1), START_NANOS);

    private List<Boolean> sendToNewRelease() {
        for (int i = 0; i < 3; i++) {
            state.upstreams().put(Fixtures.upstream("o" + i, "desk", "v1", 0), START_NANOS);
            state.upstreams().put(Fixtures.upstream("n" + i, "desk", "v2", 0), START_NANOS);
        }
        state.rollOuts()
                .onRollOutOrdered(
                        new RollOut("desk", "v2", Duration.ofSeconds(20), 5, START_NANOS));
        List<Boolean> sentToNew = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            long now = START_NANOS + i * STEP_NANOS;
            Fixtures.confirmConfig(state, now);
            RoutedRequest request = Fixtures.request("book", "id" + i, Optional.empty());
            Job job = Fixtures.admit(state, request, now);
            Send send = (Send) Fixtures.place(state, job, now);
            state.onSendEnd(job, "", Fixtures.reportWithHeaders(send, SendOutcome.ANSWERED), now);
            sentToNew.add(send.upstream().release().equals("v2"));
        }
        return sentToNew;
    }

    @Test
    void releaseIsTriedUnderTheLoadOfAllRequests() {
        List<Boolean> sentToNew = sendToNewRelease();
        int mostInWindow = 0;
        for (int i = 0; i + WINDOW <= REQUESTS; i++) {
            int inWindow =
                    (int) sentToNew.subList(i, i + WINDOW).stream().filter(sent -> sent).count();
            mostInWindow = Math.max(mostInWindow, inWindow);
        }
        assertThat(mostInWindow).isEqualTo(WINDOW);
        // The exposure share of the fixture's limits, and two sends on top of it.
        assertThat(sentToNew.stream().filter(sent -> sent).count())
                .isBetween(REQUESTS / 15L, REQUESTS / 10L + 2);
    }
}
