package org.wigeonferry.measurements;

import java.util.Random;

/**
 * A mix of requests: how hard each is, and how good each version is as time goes on.
 *
 * <p>Implementations are pure but for the random source given.
 */
@FunctionalInterface
interface CostMix {
    /** Ratings that the versions would get for the next request, cheapest version first. */
    double[] ratings(int number, Random random);
}
