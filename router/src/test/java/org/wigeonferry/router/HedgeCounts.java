package org.wigeonferry.router;

/**
 * What a router has counted of hedged sends so far; warm-up requests on a busy machine count too.
 *
 * <p>Immutable and thread safe.
 */
record HedgeCounts(long hedged, long won, long superseded, long doubted) {
    static HedgeCounts of(RouterHarness harness) {
        return new HedgeCounts(
                harness.count("hedged_sends"),
                harness.count("hedged_sends_won"),
                harness.count("sends_superseded"),
                harness.count("sends_doubted"));
    }

    HedgeCounts minus(HedgeCounts before) {
        return new HedgeCounts(
                hedged - before.hedged,
                won - before.won,
                superseded - before.superseded,
                doubted - before.doubted);
    }
}
