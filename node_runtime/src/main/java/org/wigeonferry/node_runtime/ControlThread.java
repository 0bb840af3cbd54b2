package org.wigeonferry.node_runtime;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The one thread that owns the control state of a process.
 *
 * <p>Other threads queue tasks and continue without waiting; a task never blocks or waits for I/O.
 * Invariant: at most {@link #MAX_WAITING_TASKS} tasks of {@link #execute} and {@link #submit} wait;
 * timer tasks are not limited. Thread safe.
 */
public final class ControlThread implements ControlExecutor, AutoCloseable {
    /** Maximum number of queued tasks without timers; further ones are rejected. */
    public static final int MAX_WAITING_TASKS = 100_000;

    private static final Logger LOG = LoggerFactory.getLogger(ControlThread.class);

    private final ScheduledThreadPoolExecutor executor;
    private final Semaphore queuePermits = new Semaphore(MAX_WAITING_TASKS);

    /** Starts the thread. */
    public ControlThread(String name) {
        executor =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread thread = new Thread(task, name);
                            thread.setDaemon(true);
                            return thread;
                        });
        executor.setRemoveOnCancelPolicy(true);
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    @Override
    public void execute(Runnable task) {
        if (!queuePermits.tryAcquire()) {
            throw new RejectedExecutionException("control thread queue is full, task rejected");
        }
        try {
            executor.execute(
                    () -> {
                        queuePermits.release();
                        runAndLogFailure(task);
                    });
        } catch (RejectedExecutionException e) {
            queuePermits.release();
            throw e;
        }
    }

    @Override
    public <T> CompletableFuture<T> submit(Supplier<T> task) {
        CompletableFuture<T> result = new CompletableFuture<>();
        try {
            execute(() -> runAndComplete(result, task));
        } catch (RejectedExecutionException e) {
            result.completeExceptionally(e);
        }
        return result;
    }

    @Override
    public Runnable schedule(Duration delay, Runnable task) {
        try {
            var future =
                    executor.schedule(
                            () -> runAndLogFailure(task), delay.toNanos(), TimeUnit.NANOSECONDS);
            return () -> future.cancel(false);
        } catch (RejectedExecutionException e) {
            LOG.debug("stopped, task dropped");
            return () -> {};
        }
    }

    @Override
    public void scheduleWithFixedDelay(Duration delay, Runnable task) {
        executor.scheduleWithFixedDelay(
                () -> runAndLogFailure(task),
                delay.toNanos(),
                delay.toNanos(),
                TimeUnit.NANOSECONDS);
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private static <T> void runAndComplete(CompletableFuture<T> result, Supplier<T> task) {
        try {
            result.complete(task.get());
        } catch (RuntimeException e) {
            result.completeExceptionally(e);
        }
    }

    /**
     * Logs errors as well: the executor would drop them, and end a repeated task without a line.
     */
    private static void runAndLogFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            LOG.error("control task failed", e);
        }
    }
}
