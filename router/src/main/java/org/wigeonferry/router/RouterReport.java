package org.wigeonferry.router;

import java.util.Map;
import java.util.Optional;
import org.wigeonferry.routing.PoisonReport;
import org.wigeonferry.routing.RollOutEvidence;

/**
 * What a router publishes to the other routers.
 *
 * <p>Immutable and thread safe.
 *
 * @param heartbeat rises with each report, so that each report of a live router differs from the
 *     one before
 * @param evidence what this router measured of the releases in roll-outs, by service
 * @param poison what this router knows of poison requests
 * @param peerAddress where the router takes load reports; empty if it takes none
 */
public record RouterReport(
        long heartbeat,
        Map<String, RollOutEvidence> evidence,
        PoisonReport poison,
        Optional<PeerAddress> peerAddress) {
    public RouterReport {
        evidence = Map.copyOf(evidence);
    }
}
