package org.wigeonferry.entry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.wigeonferry.node_runtime.ControlExecutor;

/**
 * Requests that wait until an upstream may have room, in the order of their arrival.
 *
 * <p>An attempt that ends wakes the first of the line. Upstreams that others filled, and blocks
 * that end, give no sign, so one timer for the whole line wakes a few more; its cost does not grow
 * with the line. A request that finds no room joins the end again. Not thread safe; owned by the
 * control thread.
 */
final class CapacityQueue {
    private static final Duration PAUSE = Duration.ofMillis(20);
    private static final int WOKEN_BY_ROOM = 2;
    private static final int WOKEN_BY_TIMER = 32;

    private final ControlExecutor control;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private boolean timerSet;

    CapacityQueue(ControlExecutor control) {
        this.control = control;
    }

    /** Runs the action once there may be room, or a pause has passed. */
    void enqueue(Runnable action) {
        waiting.addLast(action);
        setTimer();
    }

    /** Notes that an attempt ended. */
    void onAttemptEnded() {
        wake(WOKEN_BY_ROOM);
    }

    private void setTimer() {
        if (timerSet || waiting.isEmpty()) {
            return;
        }
        timerSet = true;
        control.schedule(PAUSE, this::onTimer);
    }

    private void onTimer() {
        timerSet = false;
        wake(WOKEN_BY_TIMER);
        setTimer();
    }

    private void wake(int most) {
        int count = Math.min(most, waiting.size());
        for (int i = 0; i < count; i++) {
            waiting.removeFirst().run();
        }
    }
}
