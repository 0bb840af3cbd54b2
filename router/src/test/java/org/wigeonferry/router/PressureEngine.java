package org.wigeonferry.router;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.wigeonferry.routing.ReportedLoad;
import org.wigeonferry.routing.SendOutcome;
import org.wigeonferry.stand_ins.VirtualTime;

/**
 * A model engine in virtual time: reads one prompt after the other, generates for as many requests
 * as it has slots, lets others wait, and crashes when what it holds exceeds its memory.
 */
final class PressureEngine {
    private static final long NANOS_PER_TOKEN = 16_000;
    private static final Duration LATENCY = Duration.ofMillis(1);
    private static final Duration RESTART_TIME = Duration.ofSeconds(3);

    private final VirtualTime time;
    private final int slots;
    private final long capacityTokens;
    private final Deque<PressureSend> queue = new ArrayDeque<>();
    private final Set<PressureSend> held = new LinkedHashSet<>();
    private int active;
    private long heldTokens;
    private long mostHeldTokens;
    private long readFreeNanos;
    private int crashes;
    private boolean alive = true;

    PressureEngine(VirtualTime time, int slots, long capacityTokens) {
        this.time = time;
        this.slots = slots;
        this.capacityTokens = capacityTokens;
    }

    long mostHeldTokens() {
        return mostHeldTokens;
    }

    int crashes() {
        return crashes;
    }

    int heldRequests() {
        return held.size();
    }

    /** Takes a request that a router has just sent. */
    void send(PressureSend send) {
        time.after(LATENCY, () -> accept(send));
    }

    /** Ends all requests and takes none for a while. */
    void crash() {
        crashes++;
        alive = false;
        List<PressureSend> lost = List.copyOf(held);
        held.clear();
        queue.clear();
        active = 0;
        heldTokens = 0;
        lost.forEach(send -> end(send, SendOutcome.BROKEN));
        time.after(RESTART_TIME, () -> alive = true);
    }

    /** Drops the requests of a router whose connections are lost. */
    void dropRequestsOf(PressureRouter router) {
        List.copyOf(held).stream().filter(send -> send.router() == router).forEach(this::release);
    }

    private void accept(PressureSend send) {
        if (!alive) {
            end(send, SendOutcome.NOT_SENT);
            return;
        }
        if (!send.router().isAlive()) {
            return;
        }
        held.add(send);
        heldTokens += send.send().heldTokens();
        mostHeldTokens = Math.max(mostHeldTokens, heldTokens);
        if (heldTokens > capacityTokens) {
            crash();
            return;
        }
        queue.addLast(send);
        startQueued();
    }

    private void startQueued() {
        while (active < slots && !queue.isEmpty()) {
            PressureSend send = queue.removeFirst();
            active++;
            long tokens = send.call().request().promptTokens();
            readFreeNanos = Math.max(readFreeNanos, time.nanoTime()) + tokens * NANOS_PER_TOKEN;
            time.after(Duration.ofNanos(readFreeNanos - time.nanoTime()), () -> onPromptRead(send));
        }
    }

    private void onPromptRead(PressureSend send) {
        if (!held.contains(send)) {
            return;
        }
        ReportedLoad load = new ReportedLoad(active, queue.size(), slots, OptionalInt.empty());
        time.after(LATENCY, () -> send.router().onFirstByte(send, Optional.of(load)));
        time.after(Duration.ofMillis(send.call().decodeMillis()), () -> onAnswered(send));
    }

    private void onAnswered(PressureSend send) {
        if (held.contains(send)) {
            release(send);
            end(send, SendOutcome.ANSWERED);
        }
    }

    private void release(PressureSend send) {
        held.remove(send);
        heldTokens -= send.send().heldTokens();
        if (!queue.remove(send)) {
            active--;
        }
        startQueued();
    }

    private void end(PressureSend send, SendOutcome outcome) {
        time.after(LATENCY, () -> send.router().onSendEnd(send, outcome));
    }
}
