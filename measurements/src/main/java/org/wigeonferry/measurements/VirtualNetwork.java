package org.wigeonferry.measurements;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.stand_ins.VirtualTime;

/**
 * Carries messages between nodes in virtual time, with latency, loss and cuts between regions.
 *
 * <p>Not thread safe.
 */
final class VirtualNetwork {
    /** Bytes that HTTP/2 and TCP add to a message and its reply. */
    static final int OVERHEAD_BYTES = 120;

    private static final Duration NEAR = Duration.ofNanos(500_000);
    private static final Duration FAR = Duration.ofMillis(40);

    private final VirtualTime time;
    private final Random random;
    private final double loss;
    private final Map<HostAddress, VirtualNode> nodes = new HashMap<>();
    private final Set<Integer> cutRegions = new HashSet<>();
    private long messages;
    private long bytes;

    VirtualNetwork(VirtualTime time, Random random, double loss) {
        this.time = time;
        this.random = random;
        this.loss = loss;
    }

    void add(VirtualNode node) {
        nodes.put(node.address(), node);
    }

    void cut(int region, boolean value) {
        if (value) {
            cutRegions.add(region);
        } else {
            cutRegions.remove(region);
        }
    }

    long messages() {
        return messages;
    }

    long bytes() {
        return bytes;
    }

    void resetCounts() {
        messages = 0;
        bytes = 0;
    }

    /** Sends a message from a node to an address. */
    CompletableFuture<byte[]> call(
            VirtualNode from, HostAddress to, byte[] body, Duration timeout) {
        CompletableFuture<byte[]> reply = new CompletableFuture<>();
        time.after(timeout, () -> reply.completeExceptionally(new TimeoutException()));
        count(body);
        VirtualNode target = nodes.get(to);
        if (target == null || lost(from, target)) {
            return reply;
        }
        Duration latency = latency(from, target);
        time.after(
                latency,
                () ->
                        target.answer(body)
                                .thenAccept(
                                        answer -> {
                                            count(answer);
                                            if (!lost(target, from)) {
                                                time.after(latency, () -> reply.complete(answer));
                                            }
                                        }));
        return reply;
    }

    private void count(byte[] body) {
        messages++;
        bytes += body.length + OVERHEAD_BYTES;
    }

    private boolean lost(VirtualNode from, VirtualNode to) {
        boolean cut =
                from.region() != to.region()
                        && (cutRegions.contains(from.region()) || cutRegions.contains(to.region()));
        return cut || random.nextDouble() < loss;
    }

    private static Duration latency(VirtualNode from, VirtualNode to) {
        return from.region() == to.region() ? NEAR : FAR;
    }
}
