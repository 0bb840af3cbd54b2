package org.wigeonferry.router;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wigeonferry.core_types.HostAddress;

/**
 * The addresses of the other routers of the availability zone, from their reports.
 *
 * <p>Owned by the control thread.
 */
final class PeerDirectory {
    /** Bounds the datagrams of a report; the work of a router must not grow with its zone. */
    private static final int MAX_PEERS = 32;

    private final String ownName;
    private final Optional<PeerAddress> ownAddress;
    private final Map<String, PeerAddress> addresses = new HashMap<>();
    private List<HostAddress> zonePeers = List.of();

    /**
     * Creates an empty directory.
     *
     * @param ownAddress empty if this router exchanges no load reports
     */
    PeerDirectory(String ownName, Optional<PeerAddress> ownAddress) {
        this.ownName = ownName;
        this.ownAddress = ownAddress;
    }

    /** Replaces the address of a router; forgets it if its report holds none. */
    void onReport(String router, Optional<PeerAddress> address) {
        address.ifPresentOrElse(
                present -> addresses.put(router, present), () -> addresses.remove(router));
        updateZonePeers();
    }

    /** Forgets all routers but these. */
    void retain(Set<String> live) {
        if (addresses.keySet().retainAll(live)) {
            updateZonePeers();
        }
    }

    /** The addresses of the other routers of the zone. */
    List<HostAddress> zonePeers() {
        return zonePeers;
    }

    private void updateZonePeers() {
        zonePeers =
                addresses.entrySet().stream()
                        .filter(entry -> !entry.getKey().equals(ownName))
                        .map(Map.Entry::getValue)
                        .filter(peer -> isInOwnZone(peer))
                        .map(PeerAddress::address)
                        .limit(MAX_PEERS)
                        .toList();
    }

    private boolean isInOwnZone(PeerAddress peer) {
        return ownAddress.filter(own -> own.zone().equals(peer.zone())).isPresent();
    }
}
