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
 * Tracks which peers keep copies of this process's bills, and which copies they may delete.
 *
 * <p>Invariant: a peer is recorded only for a bill that is not yet durable; a bill is durable once
 * the table service has stored it. Not thread safe; owned by the control thread.
 */
final class BillCopyTracker {
    private final Map<String, Peer> copyHolderByBillKey = new HashMap<>();
    private final Map<NodeId, List<String>> droppableKeysByPeer = new HashMap<>();

    /**
     * Records that a peer keeps a copy of a bill. If the bill is already durable, the peer may
     * delete the copy at once.
     */
    void onCopyStored(String key, Peer peer, boolean durable) {
        if (durable) {
            droppableKeysByPeer.computeIfAbsent(peer.node(), node -> new ArrayList<>()).add(key);
            return;
        }
        copyHolderByBillKey.put(key, peer);
    }

    /** Records that bills are durable: their copies may be deleted from now on. */
    void onBillsDurable(Collection<String> keys) {
        for (String key : keys) {
            Optional.ofNullable(copyHolderByBillKey.remove(key))
                    .ifPresent(peer -> onCopyStored(key, peer, true));
        }
    }

    /** Returns the keys of the copies that the peer may delete, and forgets these keys. */
    List<String> takeDroppableKeys(NodeId peer) {
        return Optional.ofNullable(droppableKeysByPeer.remove(peer)).orElse(List.of());
    }

    /**
     * Forgets all copies that may be deleted; call after each live peer has been sent its keys. A
     * peer that is not live keeps its copies and may write them to the table service, which is
     * harmless because a bill is inserted only if absent.
     */
    void clearDroppableKeys() {
        droppableKeysByPeer.clear();
    }

    /**
     * Returns the keys of bills whose copy is kept by a peer that is not live, and forgets these
     * copies.
     */
    List<String> takeKeysOfLostCopies(Collection<NodeId> livePeers) {
        List<String> lostKeys =
                copyHolderByBillKey.entrySet().stream()
                        .filter(copy -> !livePeers.contains(copy.getValue().node()))
                        .map(Map.Entry::getKey)
                        .toList();
        lostKeys.forEach(copyHolderByBillKey::remove);
        return lostKeys;
    }
}
