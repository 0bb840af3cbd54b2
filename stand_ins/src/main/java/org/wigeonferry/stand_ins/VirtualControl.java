package org.wigeonferry.stand_ins;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.wigeonferry.node_runtime.Control;

/**
 * Control of one process in virtual time; a process that was killed does nothing more.
 *
 * <p>Not thread safe; used by the test's thread.
 */
public final class VirtualControl implements Control {
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
    public void run(Runnable task) {
        after(Duration.ZERO, task);
    }

    @Override
    public <T> CompletableFuture<T> ask(Supplier<T> question) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        run(() -> answer.complete(question.get()));
        return answer;
    }

    @Override
    public Runnable after(Duration delay, Runnable task) {
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
    public void every(Duration period, Runnable task) {
        after(
                period,
                () -> {
                    task.run();
                    every(period, task);
                });
    }

    @Override
    public long nanoTime() {
        return time.nanoTime();
    }
}
