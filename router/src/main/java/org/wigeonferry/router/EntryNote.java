package org.wigeonferry.router;

import java.util.Map;
import org.wigeonferry.routing.RollOutEvidence;

/**
 * What one entry tells the others.
 *
 * <p>Immutable and thread safe.
 *
 * @param beat rises with each note, so that a living entry's note always differs from the one
 *     before
 * @param evidence what it saw of roll-outs, by service
 * @param suspects contents that broke upstreams there, with the number of breaks in a row
 */
public record EntryNote(
        long beat, Map<String, RollOutEvidence> evidence, Map<String, Integer> suspects) {
    public EntryNote {
        evidence = Map.copyOf(evidence);
        suspects = Map.copyOf(suspects);
    }
}
