package org.wigeonferry.stand_ins;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.wigeonferry.node_runtime.ControlExecutor;

/**
 * Control of one process in virtual time; a process that was killed does nothing more.
 *
 * <p>Not thread safe; used by the test's thread.
 */
public final class VirtualControl implements ControlExecutor {
    private final VirtualTime time;
    private boolean alive = true;

    /** A live process. */
    public VirtualControl(VirtualTime time) {
        this.time = time;
    }

    /** Ends the process without warning. */
    public void kill() {
        alive = false;
    }

    @Override
    public void execute(Runnable task) {
        schedule(Duration.ZERO, task);
    }

    @Override
    public <T> CompletableFuture<T> submit(Supplier<T> question) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        execute(() -> answer.complete(question.get()));
        return answer;
    }

    @Override
    public Runnable schedule(Duration delay, Runnable task) {
        boolean[] cancelled = {false};
        time.after(
                delay,
                () -> {
                    if (alive && !cancelled[0]) {
                        task.run();
                    }
                });
        return () -> cancelled[0] = true;
    }

    @Override
    public void scheduleWithFixedDelay(Duration period, Runnable task) {
        schedule(
                period,
                () -> {
                    task.run();
                    scheduleWithFixedDelay(period, task);
                });
    }

    @Override
    public long nanoTime() {
        return time.nanoTime();
    }
}
