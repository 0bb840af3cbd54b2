package org.wigeonferry.node_runtime;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Runs tasks on the control state of a process, one at a time, and tells the time it lives by.
 *
 * <p>Implementations are thread safe and never block the caller.
 */
public interface ControlExecutor {
    /** Runs a task. */
    void execute(Runnable task);

    /** Asks a question of the control state. */
    <T> CompletableFuture<T> submit(Supplier<T> question);

    /** Runs a task once after a delay; the result cancels it. */
    Runnable schedule(Duration delay, Runnable task);

    /** Runs a task again and again, with a pause between runs. */
    void scheduleWithFixedDelay(Duration period, Runnable task);

    /** Monotonic time in nanoseconds. */
    long nanoTime();
}
