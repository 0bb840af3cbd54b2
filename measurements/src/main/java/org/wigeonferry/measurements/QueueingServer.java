package org.wigeonferry.measurements;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.wigeonferry.stand_ins.VirtualTime;

/**
 * An upstream that serves some requests at once and the others in the order of arrival.
 *
 * <p>Not thread safe.
 */
final class QueueingServer {
    private final VirtualTime time;
    private final int slots;
    private final int slowness;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private int serving;

    QueueingServer(VirtualTime time, int slots, int slowness) {
        this.time = time;
        this.slots = slots;
        this.slowness = slowness;
    }

    int inFlight() {
        return serving + waiting.size();
    }

    void serve(Duration firstToken, Duration whole, Runnable onFirst, Runnable onDone) {
        waiting.add(
                () -> {
                    time.after(firstToken.multipliedBy(slowness), onFirst);
                    time.after(
                            firstToken.plus(whole).multipliedBy(slowness),
                            () -> {
                                serving--;
                                onDone.run();
                                next();
                            });
                });
        next();
    }

    private void next() {
        if (serving < slots && !waiting.isEmpty()) {
            serving++;
            waiting.poll().run();
        }
    }
}
