package org.wigeonferry.decisions;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.wigeonferry.core_types.RequestClassId;

/**
 * What a point of rating may cost in each class.
 *
 * <p>The price falls while the mean rating of what is delivered lies above the target, and rises
 * while it lies below, until the mean meets the target. Spending where a point of rating is
 * cheapest then gives the least cost for that mean. Invariant: {@link #MIN_PRICE_MICROS_PER_TOKEN}
 * <= price <= {@link #MAX_PRICE_MICROS_PER_TOKEN}. Not thread safe; owned by the control thread.
 */
public final class QualityPriceController {
    /** Lowest price, in millionths of the billing currency a token and point of rating. */
    public static final double MIN_PRICE_MICROS_PER_TOKEN = 1e-3;

    /** Highest price, in the same unit. */
    public static final double MAX_PRICE_MICROS_PER_TOKEN = 1e9;

    private static final double GAIN = 0.05;

    /** A class starts with quality first: at this many times the dearest version's cost. */
    private static final double START_FACTOR = 10;

    private final Map<RequestClassId, Double> prices = new HashMap<>();

    /** The price of a point of rating, for versions of which the dearest costs this much. */
    public double price(RequestClassId type, double dearestCost) {
        return prices.computeIfAbsent(type, key -> bounded(START_FACTOR * dearestCost));
    }

    /** Notes the rating of a delivered answer. */
    public void onDeliveredRating(RequestClassId type, double target, double rating) {
        prices.computeIfPresent(
                type, (key, price) -> bounded(price * Math.exp(GAIN * (target - rating))));
    }

    /** Forgets classes that a catalog no longer lists. */
    public void retainClasses(Collection<RequestClassId> classes) {
        prices.keySet().retainAll(classes);
    }

    private static double bounded(double price) {
        return Math.max(MIN_PRICE_MICROS_PER_TOKEN, Math.min(MAX_PRICE_MICROS_PER_TOKEN, price));
    }
}
