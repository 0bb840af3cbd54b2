package org.wigeonferry.node_runtime;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Runs tasks on the control state of a process, one at a time, and supplies the clock of its
 * timers.
 *
 * <p>Implementations are thread safe and never block the caller.
 */
public interface ControlExecutor {
    /**
     * Queues a task.
     *
     * @throws java.util.concurrent.RejectedExecutionException if the task is not accepted
     */
    void execute(Runnable task);

    /** Queues a task that returns a value; the future fails if the task throws or is rejected. */
    <T> CompletableFuture<T> submit(Supplier<T> task);

    /** Runs a task once after a delay; the returned {@code Runnable} cancels it. */
    Runnable schedule(Duration delay, Runnable task);

    /** Runs a task repeatedly, first after {@code delay}, then {@code delay} after each run. */
    void scheduleWithFixedDelay(Duration delay, Runnable task);

    /** Monotonic time in nanoseconds. */
    long nanoTime();
}
