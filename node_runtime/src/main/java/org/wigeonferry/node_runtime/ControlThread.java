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
 * <p>Traffic threads hand it questions and go on; it never blocks and never waits for I/O.
 * Invariant: at most {@link #MAX_WAITING_TASKS} tasks of traffic wait. Thread safe.
 */
public final class ControlThread implements ControlExecutor, AutoCloseable {
    /** Most tasks that wait; further ones fail at once. */
    public static final int MAX_WAITING_TASKS = 100_000;

    private static final Logger LOG = LoggerFactory.getLogger(ControlThread.class);

    private final ScheduledThreadPoolExecutor executor;
    private final Semaphore waiting = new Semaphore(MAX_WAITING_TASKS);

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
        if (!waiting.tryAcquire()) {
            throw new RejectedExecutionException("control thread is overloaded");
        }
        try {
            executor.execute(
                    () -> {
                        waiting.release();
                        guarded(task);
                    });
        } catch (RejectedExecutionException e) {
            waiting.release();
            throw e;
        }
    }

    @Override
    public <T> CompletableFuture<T> submit(Supplier<T> question) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        try {
            execute(() -> complete(answer, question));
        } catch (RejectedExecutionException e) {
            answer.completeExceptionally(e);
        }
        return answer;
    }

    @Override
    public Runnable schedule(Duration delay, Runnable task) {
        try {
            var future =
                    executor.schedule(() -> guarded(task), delay.toNanos(), TimeUnit.NANOSECONDS);
            return () -> future.cancel(false);
        } catch (RejectedExecutionException e) {
            LOG.debug("stopped, task dropped");
            return () -> {};
        }
    }

    @Override
    public void scheduleWithFixedDelay(Duration period, Runnable task) {
        executor.scheduleWithFixedDelay(
                () -> guarded(task), period.toNanos(), period.toNanos(), TimeUnit.NANOSECONDS);
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private static <T> void complete(CompletableFuture<T> answer, Supplier<T> question) {
        try {
            answer.complete(question.get());
        } catch (RuntimeException e) {
            answer.completeExceptionally(e);
        }
    }

    private static void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("control task failed", e);
        }
    }
}
