package org.wigeonferry.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeonferry.stand_ins.VirtualControl;
import org.wigeonferry.stand_ins.VirtualTime;

class CapacityQueueTest {
    private final VirtualTime time = new VirtualTime();
    private final CapacityQueue queue = new CapacityQueue(new VirtualControl(time));
    private final List<Integer> woken = new ArrayList<>();

    @Test
    void requestsAreWokenInOrderOfArrival() {
        enqueue(5);
        queue.onAttemptEnded();
        assertThat(woken).containsExactly(0, 1);
    }

    @Test
    void timerWakesRequestsWithoutAnAttemptEnd() {
        enqueue(5);
        time.run(Duration.ofMillis(20));
        assertThat(woken).containsExactly(0, 1, 2, 3, 4);
    }

    @Test
    void oneTimerTickWakesABoundedNumber() {
        enqueue(1000);
        time.run(Duration.ofMillis(20));
        assertThat(woken).hasSize(32);
    }

    @Test
    void requestQueuedAgainIsNotWokenByTheSameEvent() {
        int[] tries = {0};
        Runnable[] retry = new Runnable[1];
        retry[0] =
                () -> {
                    tries[0]++;
                    queue.enqueue(retry[0]);
                };
        queue.enqueue(retry[0]);
        queue.onAttemptEnded();
        assertThat(tries[0]).isEqualTo(1);
    }

    private void enqueue(int count) {
        for (int i = 0; i < count; i++) {
            int number = i;
            queue.enqueue(() -> woken.add(number));
        }
    }
}
