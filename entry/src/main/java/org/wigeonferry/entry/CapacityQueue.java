package org.wigeonferry.entry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.wigeonferry.node_runtime.ControlExecutor;

/**
 * FIFO queue of the requests that wait until an upstream may have free capacity.
 *
 * <p>An attempt that ends wakes the first two requests. No event reports that an upstream filled by
 * other entries has capacity again or that a block has expired, so one timer for the whole queue
 * also wakes a bounded number of requests per tick; its cost does not grow with the length of the
 * queue. A request that finds no capacity is appended to the queue again. Not thread safe; owned by
 * the control thread.
 */
final class CapacityQueue {
    private static final Duration TIMER_PERIOD = Duration.ofMillis(20);
    private static final int MAX_WOKEN_PER_ATTEMPT_END = 2;
    private static final int MAX_WOKEN_PER_TIMER_TICK = 32;

    private final ControlExecutor control;
    private final Deque<Runnable> queue = new ArrayDeque<>();
    private boolean timerScheduled;

    CapacityQueue(ControlExecutor control) {
        this.control = control;
    }

    /** Runs the action when its turn comes after an attempt has ended or the timer has fired. */
    void enqueue(Runnable action) {
        queue.addLast(action);
        scheduleTimer();
    }

    /** Wakes the first requests, since the ended attempt may have freed capacity. */
    void onAttemptEnded() {
        wake(MAX_WOKEN_PER_ATTEMPT_END);
    }

    private void scheduleTimer() {
        if (timerScheduled || queue.isEmpty()) {
            return;
        }
        timerScheduled = true;
        control.schedule(TIMER_PERIOD, this::onTimer);
    }

    private void onTimer() {
        timerScheduled = false;
        wake(MAX_WOKEN_PER_TIMER_TICK);
        scheduleTimer();
    }

    private void wake(int maxCount) {
        int count = Math.min(maxCount, queue.size());
        for (int i = 0; i < count; i++) {
            queue.removeFirst().run();
        }
    }
}
