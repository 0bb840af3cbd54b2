package org.wigeonferry.routing.waiting;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against a queue that sends requests in the order of their arrival, keeps requests that
 * can't be answered in time any more, lets small requests starve a large one, or grows without
 * limit.
 */
class WaitingQueueTest {
    private static final long MILLI = 1_000_000;

    private final AccountUse use = new AccountUse();
    private final DrainRate drainRate = new DrainRate();
    private final WaitingQueue queue =
            new WaitingQueue(new QueueLimits(4, 10_000, 1_000), use, drainRate);

    private static WaitingRequest request(
            long number, String account, int rank, long latestStartMillis) {
        return new WaitingRequest(number, account, rank, 100, 10, 0, latestStartMillis * MILLI);
    }

    private Optional<WaitRefusal> offer(WaitingRequest request) {
        return queue.offer(request, 0).refusal();
    }

    private List<Long> dispatchAll() {
        List<Long> sent = new ArrayList<>();
        queue.dispatch(request -> sent.add(request.number()));
        return sent;
    }

    /** Ten sends that run for a second each: the queue drains by one request in 100 ms. */
    private void drainTenPerSecond() {
        IntStream.range(0, 11).forEach(i -> drainRate.onStart(0));
        drainRate.onEnd(Optional.of(Duration.ofSeconds(1)));
    }

    @Test
    void requestsLeaveByRankThenAccountThenLatestStart() {
        use.add("busy", 1000, 0);
        offer(request(1, "busy", 1, 100));
        offer(request(2, "calm", 1, 900));
        offer(request(3, "calm", 1, 500));
        offer(request(4, "busy", 0, 2000));
        assertThat(dispatchAll()).containsExactly(4L, 3L, 2L, 1L);
    }

    @Test
    void requestThatCannotStartInTimeIsRefusedAtOnce() {
        drainTenPerSecond();
        assertThat(offer(request(1, "a", 0, 150))).isEmpty();
        assertThat(offer(request(2, "a", 0, 150))).contains(WaitRefusal.WAIT_TOO_LONG);
        assertThat(offer(request(3, "a", 0, 250))).isEmpty();
    }

    @Test
    void overtakenRequestThatCannotStartInTimeAnyMoreIsEvicted() {
        drainTenPerSecond();
        offer(request(1, "a", 1, 130));
        QueueDecision decision = queue.offer(request(2, "a", 0, 1000), 0);
        assertThat(decision.evictions())
                .containsExactly(new Eviction(request(1, "a", 1, 130), WaitRefusal.WAIT_TOO_LONG));
    }

    @Test
    void fullQueueDropsTheLastRequestOfTheAccountThatUsesMost() {
        use.add("busy", 1000, 0);
        offer(request(1, "calm", 0, 1000));
        offer(request(2, "busy", 0, 1000));
        offer(request(3, "busy", 0, 1500));
        offer(request(4, "calm", 0, 1000));
        QueueDecision decision = queue.offer(request(5, "calm", 0, 1000), 0);
        assertThat(decision.refusal()).isEmpty();
        assertThat(decision.evictions())
                .containsExactly(new Eviction(request(3, "busy", 0, 1500), WaitRefusal.QUEUE_FULL));
        assertThat(offer(request(6, "busy", 0, 2000))).contains(WaitRefusal.QUEUE_FULL);
        assertThat(queue.size()).isEqualTo(4);
    }

    @Test
    void queueIsLimitedInTokensAndBytes() {
        WaitingRequest large = new WaitingRequest(1, "a", 0, 9_950, 10, 0, 1000 * MILLI);
        assertThat(offer(large)).isEmpty();
        assertThat(offer(request(2, "b", 0, 1000))).isEmpty();
        assertThat(queue.request(1)).isEmpty();
        WaitingRequest longBody = new WaitingRequest(3, "a", 0, 1, 1_001, 0, 1000 * MILLI);
        QueueDecision decision = queue.offer(longBody, 0);
        assertThat(decision.refusal()).contains(WaitRefusal.QUEUE_FULL);
        // What no empty queue would take must not empty it.
        assertThat(decision.evictions()).isEmpty();
        assertThat(queue.size()).isEqualTo(1);
    }

    @Test
    void largeRequestIsOvertakenOnlyAFewTimes() {
        WaitingQueue long100 =
                new WaitingQueue(new QueueLimits(100, 100_000, 1_000), use, drainRate);
        long100.offer(request(0, "a", 0, 1000), 0);
        IntStream.range(1, 60).forEach(i -> long100.offer(request(i, "a", 1, 1000), 0));
        List<Long> sent = new ArrayList<>();
        long100.dispatch(request -> request.number() != 0 && sent.size() < 5 && sent.add(1L));
        long100.dispatch(request -> request.number() != 0 && sent.size() < 10 && sent.add(1L));
        long100.dispatch(request -> request.number() != 0 && sent.add(1L));
        assertThat(sent).hasSize(10);
        assertThat(long100.request(0)).isPresent();
    }
}
