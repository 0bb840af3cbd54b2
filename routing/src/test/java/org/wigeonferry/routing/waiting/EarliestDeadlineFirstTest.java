package org.wigeonferry.routing.waiting;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests with little time left that wait behind requests with much. The load: 30
 * requests come together, every third with a latest start within a second; ten are sent in a
 * second.
 */
class EarliestDeadlineFirstTest {
    private static final long MILLI = 1_000_000;
    private static final int REQUESTS = 30;
    private static final int SEND_INTERVAL_MILLIS = 100;

    private static List<WaitingRequest> burst() {
        List<WaitingRequest> requests = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            long latestMillis = i % 3 == 2 ? 1100 : 3500;
            requests.add(new WaitingRequest(i, "account", 0, 100, 10, 0, latestMillis * MILLI));
        }
        return requests;
    }

    /** Sends one request after the other; returns how many start in time. */
    private static int startedInTime(List<WaitingRequest> inOrder) {
        int inTime = 0;
        for (int i = 0; i < inOrder.size(); i++) {
            long startNanos = (i + 1) * SEND_INTERVAL_MILLIS * MILLI;
            inTime += startNanos <= inOrder.get(i).latestStartNanos() ? 1 : 0;
        }
        return inTime;
    }

    @Test
    void allStartInTimeThatCan() {
        WaitingQueue queue =
                new WaitingQueue(
                        QueueLimits.withBytes(1_000_000), new AccountUse(), new DrainRate());
        burst().forEach(request -> queue.offer(request, 0));
        assertThat(startedInTime(queue.inOrder())).isEqualTo(REQUESTS);
    }

    @Test
    void inOrderOfArrivalSomeStartTooLate() {
        assertThat(startedInTime(burst())).isLessThan(REQUESTS - 5);
    }

    /** A request whose time can't be met any more must not take the place of others. */
    @Test
    void requestThatIsAlreadyTooLateDoesNotWait() {
        DrainRate drainRate = new DrainRate();
        drainRate.onStart(0);
        drainRate.onStart(0);
        drainRate.onEnd(Optional.of(Duration.ofMillis(SEND_INTERVAL_MILLIS)));
        WaitingQueue queue =
                new WaitingQueue(QueueLimits.withBytes(1_000_000), new AccountUse(), drainRate);
        WaitingRequest late = new WaitingRequest(1, "account", 0, 100, 10, 0, 90 * MILLI);
        assertThat(queue.offer(late, 0).refusal()).contains(WaitRefusal.WAIT_TOO_LONG);
        assertThat(queue.size()).isZero();
    }
}
