package org.wigeonferry.router;

import java.util.Map;
import org.wigeonferry.routing.RollOutEvidence;

/**
 * What one entry tells the others.
 *
 * <p>Immutable and thread safe.
 *
 * @param heartbeat rises with each note, so that a living entry's note always differs from the one
 *     before
 * @param evidence what it saw of roll-outs, by service
 * @param lossCounts contents that broke upstreams there, with the number of breaks in a row
 */
public record RouterReport(
        long heartbeat, Map<String, RollOutEvidence> evidence, Map<String, Integer> lossCounts) {
    public RouterReport {
        evidence = Map.copyOf(evidence);
        lossCounts = Map.copyOf(lossCounts);
    }
}
