package org.wigeonferry.router;

import java.util.Map;
import java.util.Optional;
import org.wigeonferry.routing.RollOutEvidence;

/**
 * What a router publishes to the other routers.
 *
 * <p>Immutable and thread safe.
 *
 * @param heartbeat rises with each report, so that each report of a live router differs from the
 *     one before
 * @param evidence what this router measured of the releases in roll-outs, by service
 * @param connectionLossCounts consecutive connection losses at this router, by the digest of the
 *     request that was being served
 * @param peerAddress where the router takes load reports; empty if it takes none
 */
public record RouterReport(
        long heartbeat,
        Map<String, RollOutEvidence> evidence,
        Map<String, Integer> connectionLossCounts,
        Optional<PeerAddress> peerAddress) {
    public RouterReport {
        evidence = Map.copyOf(evidence);
        connectionLossCounts = Map.copyOf(connectionLossCounts);
    }
}
