package org.wigeonferry.decisions;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;
import org.wigeonferry.core_types.NodeId;

/**
 * The entries that this process knows.
 *
 * <p>A bounded part of all entries, so that cost stays flat as entries grow. A peer that has not
 * been seen for the lifetime is forgotten. A higher epoch replaces a lower one; a lower one is
 * ignored. Not thread safe; owned by the control thread.
 */
public final class KnownEntries {
    private final NodeId self;
    private final int capacity;
    private final Duration lifetime;
    private final Random random;
    private final Map<NodeId, Peer> peers = new HashMap<>();

    /** Keeps at most {@code capacity} peers. */
    public KnownEntries(NodeId self, int capacity, Duration lifetime, Random random) {
        this.self = self;
        this.capacity = capacity;
        this.lifetime = lifetime;
        this.random = random;
    }

    /** Takes over news of a peer. */
    public void update(Peer news) {
        if (news.role() != Role.ENTRY || news.node().equals(self)) {
            return;
        }
        Peer known = peers.get(news.node());
        if (known != null && !supersedes(news, known)) {
            return;
        }
        peers.put(news.node(), news);
        if (peers.size() > capacity) {
            List<NodeId> names = new ArrayList<>(peers.keySet());
            names.remove(news.node());
            peers.remove(names.get(random.nextInt(names.size())));
        }
    }

    /** Forgets a peer that did not answer, unless it was seen since the question. */
    public void onNoAnswer(NodeId node, long askedNanos) {
        peers.computeIfPresent(
                node, (n, peer) -> peer.lastSeenNanos() - askedNanos > 0 ? peer : null);
    }

    /** Picks any live peer that fits. */
    public Optional<Peer> pick(Predicate<Peer> fits, long nowNanos) {
        List<Peer> fitting = liveEntries(nowNanos).stream().filter(fits).toList();
        if (fitting.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(fitting.get(random.nextInt(fitting.size())));
    }

    /** Picks at most {@code count} different live peers. */
    public List<Peer> pickUpTo(int count, long nowNanos) {
        List<Peer> all = new ArrayList<>(liveEntries(nowNanos));
        Collections.shuffle(all, random);
        return List.copyOf(all.subList(0, Math.min(count, all.size())));
    }

    /** All live peers. */
    public List<Peer> liveEntries(long nowNanos) {
        peers.values().removeIf(peer -> nowNanos - peer.lastSeenNanos() > lifetime.toNanos());
        return List.copyOf(peers.values());
    }

    private static boolean supersedes(Peer news, Peer known) {
        if (news.incarnation() != known.incarnation()) {
            return news.incarnation() > known.incarnation();
        }
        return news.lastSeenNanos() - known.lastSeenNanos() > 0;
    }
}
