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
 * The processes of role {@link Role#ENTRY} that this process knows.
 *
 * <p>Keeps a bounded subset of them, so that the cost of exchanging state doesn't grow with the
 * number of entry processes. Removes a peer that has not been seen for the peer lifetime. A report
 * with a higher incarnation replaces the known one; a report with a lower incarnation is ignored.
 * Not thread safe; owned by the control thread.
 */
public final class KnownEntries {
    private final NodeId self;
    private final int maxPeers;
    private final Duration peerLifetime;
    private final Random random;
    private final Map<NodeId, Peer> peers = new HashMap<>();

    /**
     * Keeps at most {@code maxPeers} peers, each for {@code peerLifetime} after it was last seen.
     */
    public KnownEntries(NodeId self, int maxPeers, Duration peerLifetime, Random random) {
        this.self = self;
        this.maxPeers = maxPeers;
        this.peerLifetime = peerLifetime;
        this.random = random;
    }

    /**
     * Replaces what is known of a peer if the report is newer. If there are too many peers then, a
     * random other one is removed.
     */
    public void update(Peer reported) {
        if (reported.role() != Role.ENTRY || reported.node().equals(self)) {
            return;
        }
        Peer known = peers.get(reported.node());
        if (known != null && !supersedes(reported, known)) {
            return;
        }
        peers.put(reported.node(), reported);
        if (peers.size() > maxPeers) {
            List<NodeId> names = new ArrayList<>(peers.keySet());
            names.remove(reported.node());
            peers.remove(names.get(random.nextInt(names.size())));
        }
    }

    /** Removes a peer that did not answer, unless it was seen after the request was sent. */
    public void onNoAnswer(NodeId node, long sentNanos) {
        peers.computeIfPresent(
                node, (n, peer) -> peer.lastSeenNanos() - sentNanos > 0 ? peer : null);
    }

    /** Picks a random live peer that the predicate accepts; empty if there is none. */
    public Optional<Peer> pick(Predicate<Peer> accepts, long nowNanos) {
        List<Peer> candidates = liveEntries(nowNanos).stream().filter(accepts).toList();
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    /** Picks at most {@code count} different live peers at random. */
    public List<Peer> pickUpTo(int count, long nowNanos) {
        List<Peer> all = new ArrayList<>(liveEntries(nowNanos));
        Collections.shuffle(all, random);
        return List.copyOf(all.subList(0, Math.min(count, all.size())));
    }

    /** Removes the peers whose lifetime has passed and returns the others. */
    public List<Peer> liveEntries(long nowNanos) {
        peers.values().removeIf(peer -> nowNanos - peer.lastSeenNanos() > peerLifetime.toNanos());
        return List.copyOf(peers.values());
    }

    private static boolean supersedes(Peer reported, Peer known) {
        if (reported.incarnation() != known.incarnation()) {
            return reported.incarnation() > known.incarnation();
        }
        return reported.lastSeenNanos() - known.lastSeenNanos() > 0;
    }
}
