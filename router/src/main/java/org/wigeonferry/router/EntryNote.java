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
 */
public record EntryNote(long beat, Map<String, RollOutEvidence> evidence) {
    public EntryNote {
        evidence = Map.copyOf(evidence);
    }
}
