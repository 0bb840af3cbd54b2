package org.wigeonferry.routing.prediction;

import java.util.OptionalInt;

/**
 * Finds the candidate with the lowest predicted time; nearly equal ones are ranked by a hash.
 *
 * <p>Answers the load of tens of routers that see the same upstreams: all would choose the one that
 * is faster by less than the error of the prediction. Invariant: a candidate whose predicted time
 * is more than {@link #MAX_SPREAD} of the lower one above another is not chosen before it. Used for
 * one decision on the control thread.
 */
public final class LowestTime {
    /** Limits of the share of a predicted time within which another one counts as equal. */
    static final double MIN_SPREAD = 0.1;

    static final double MAX_SPREAD = 0.4;

    private int best = -1;
    private double bestNanos = Double.POSITIVE_INFINITY;

    /**
     * Offers a candidate.
     *
     * @param nanos its predicted time, with surcharges
     * @param relativeError error of the predicted time
     * @param sample hash of request and candidate, from 0 to 1
     */
    public void offer(int candidate, double nanos, double relativeError, double sample) {
        double spread = Math.max(MIN_SPREAD, Math.min(MAX_SPREAD, relativeError));
        double rankedNanos = nanos + Math.abs(nanos) * spread * sample;
        if (rankedNanos < bestNanos) {
            bestNanos = rankedNanos;
            best = candidate;
        }
    }

    /** The best candidate; empty if none was offered. */
    public OptionalInt best() {
        return best < 0 ? OptionalInt.empty() : OptionalInt.of(best);
    }
}
