package org.wigeonferry.routing.prediction;

import java.util.OptionalInt;

/**
 * Finds the candidate with the lowest predicted time; among nearly equal ones a hash decides.
 *
 * <p>Handles the load of tens of routers that see the same upstreams: all would choose the one that
 * is faster by less than the error of the prediction. Invariant: the predicted time of the chosen
 * candidate is at most {@link #MAX_SPREAD} of the lowest one above it. Used for one decision on the
 * control thread.
 */
public final class LowestTime {
    /** Limits of the share of the lowest predicted time within which others count as equal. */
    static final double MIN_SPREAD = 0.1;

    static final double MAX_SPREAD = 0.25;

    private final double[] nanos;
    private final double[] hashFractions;
    private int count;
    private int lowest;
    private double relativeErrorOfLowest;

    /** Starts without candidates. */
    public LowestTime(int maxCandidates) {
        nanos = new double[maxCandidates];
        hashFractions = new double[maxCandidates];
    }

    /**
     * Adds the next candidate.
     *
     * @param predictedNanos its predicted time, with surcharges; not negative
     * @param relativeError error of the predicted time
     * @param hashFraction hash of request and candidate, from 0 to 1
     */
    public void add(double predictedNanos, double relativeError, double hashFraction) {
        nanos[count] = predictedNanos;
        hashFractions[count] = hashFraction;
        if (count == 0 || predictedNanos < nanos[lowest]) {
            lowest = count;
            relativeErrorOfLowest = relativeError;
        }
        count++;
    }

    /** The position of the best candidate in the order of their addition; empty without any. */
    public OptionalInt best() {
        if (count == 0) {
            return OptionalInt.empty();
        }
        double spread = Math.max(MIN_SPREAD, Math.min(MAX_SPREAD, relativeErrorOfLowest));
        double limit = nanos[lowest] * (1 + spread);
        int best = lowest;
        for (int i = 0; i < count; i++) {
            if (nanos[i] <= limit && hashFractions[i] < hashFractions[best]) {
                best = i;
            }
        }
        return OptionalInt.of(best);
    }
}
