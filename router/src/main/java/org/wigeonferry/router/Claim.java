package org.wigeonferry.router;

import java.util.List;

/**
 * The claim of a send that its response is the one that counts.
 *
 * <p>Immutable and thread safe.
 *
 * @param superseded the other sends that were open; they are no longer
 * @param hedgeWon whether a hedged send claims for the first time
 */
record Claim(List<RoutedSend> superseded, boolean hedgeWon) {
    /** The claim of a send that has claimed before. */
    static final Claim REPEATED = new Claim(List.of(), false);

    Claim {
        superseded = List.copyOf(superseded);
    }
}
