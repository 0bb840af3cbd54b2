package org.wigeonferry.entry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.decisions.Peer;

/**
 * Which peers hold this process's bills, and what they may drop.
 *
 * <p>Invariant: an entry is kept only for a bill that is not durable. Not thread safe; owned by the
 * control thread.
 */
final class BillCopyTracker {
    private final Map<String, Peer> heldBy = new HashMap<>();
    private final Map<NodeId, List<String>> drops = new HashMap<>();

    /** Notes that a peer holds a bill; it may drop it at once if the bill is durable already. */
    void onCopyStored(String key, Peer peer, boolean durable) {
        if (durable) {
            drops.computeIfAbsent(peer.node(), node -> new ArrayList<>()).add(key);
            return;
        }
        heldBy.put(key, peer);
    }

    /** Notes that bills are durable. */
    void onBillsDurable(Collection<String> keys) {
        for (String key : keys) {
            Optional.ofNullable(heldBy.remove(key))
                    .ifPresent(peer -> onCopyStored(key, peer, true));
        }
    }

    /** Takes what a peer may drop. */
    List<String> takeDroppableKeys(NodeId peer) {
        return Optional.ofNullable(drops.remove(peer)).orElse(List.of());
    }

    /** Forgets drops for peers that are gone: they write what they hold, which is harmless. */
    void clearDroppableKeys() {
        drops.clear();
    }

    /** Takes the keys of bills whose holder is not among the live peers. */
    List<String> takeKeysOfLostCopies(Collection<NodeId> live) {
        List<String> orphans =
                heldBy.entrySet().stream()
                        .filter(entry -> !live.contains(entry.getValue().node()))
                        .map(Map.Entry::getKey)
                        .toList();
        orphans.forEach(heldBy::remove);
        return orphans;
    }
}
