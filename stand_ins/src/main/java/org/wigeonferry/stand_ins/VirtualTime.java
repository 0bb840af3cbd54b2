package org.wigeonferry.stand_ins;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Time that passes only when tasks run, for tests that must give the same result every time.
 *
 * <p>Not thread safe; used by the test's thread.
 */
public final class VirtualTime {
    private final PriorityQueue<VirtualTask> tasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(VirtualTask::atNanos)
                            .thenComparingLong(VirtualTask::number));
    private long nowNanos;
    private long number;

    /** Virtual time in nanoseconds. */
    public long nanoTime() {
        return nowNanos;
    }

    /** Plans a task. */
    public void after(Duration delay, Runnable task) {
        number++;
        tasks.add(new VirtualTask(nowNanos + Math.max(0, delay.toNanos()), number, task));
    }

    /** Runs tasks in their order until none is left or the time has passed. */
    public void run(Duration length) {
        long end = nowNanos + length.toNanos();
        while (!tasks.isEmpty() && tasks.peek().atNanos() <= end) {
            VirtualTask next = tasks.poll();
            nowNanos = next.atNanos();
            next.task().run();
        }
        nowNanos = end;
    }
}
