package org.wigeonferry.decisions;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.wigeonferry.core_types.RequestClassId;

/**
 * Sets, for each request class, the price of a rating point: the cost that is acceptable to raise
 * the rating of an answer by 1.
 *
 * <p>The price falls while the mean rating of delivered answers lies above the target of the class,
 * and rises while it lies below, until the mean meets the target. The price acts as the Lagrange
 * multiplier of the target: choosing each version by the same price reaches that mean at the least
 * total cost. Invariant: {@link #MIN_PRICE_MICROS_PER_TOKEN} <= price <= {@link
 * #MAX_PRICE_MICROS_PER_TOKEN}. Not thread safe; owned by the control thread.
 */
public final class QualityPriceController {
    /** Minimum price, in millionths of the billing currency per token and rating point. */
    public static final double MIN_PRICE_MICROS_PER_TOKEN = 1e-3;

    /** Maximum price, in millionths of the billing currency per token and rating point. */
    public static final double MAX_PRICE_MICROS_PER_TOKEN = 1e9;

    /** Relative change of the price per answer, for a rating that is 1 off the target. */
    private static final double PRICE_ADJUSTMENT_RATE = 0.05;

    /**
     * Initial price divided by the highest cost per token; high, so that a request class first
     * weighs expected rating above cost.
     */
    private static final double INITIAL_PRICE_FACTOR = 10;

    private final Map<RequestClassId, Double> prices = new HashMap<>();

    /**
     * Price of a rating point in the class, in millionths of the billing currency per token.
     *
     * <p>The first call for a class sets its initial price as a multiple of {@code
     * highestCostMicrosPerToken}, the cost of the most expensive version in question; later calls
     * ignore the cost.
     */
    public double priceOrInitial(RequestClassId requestClass, double highestCostMicrosPerToken) {
        return prices.computeIfAbsent(
                requestClass, key -> clamp(INITIAL_PRICE_FACTOR * highestCostMicrosPerToken));
    }

    /**
     * Adjusts the price by the rating of a delivered answer; no effect if the class has no price.
     */
    public void onDeliveredRating(RequestClassId requestClass, double target, double rating) {
        prices.computeIfPresent(
                requestClass,
                (key, price) -> clamp(price * Math.exp(PRICE_ADJUSTMENT_RATE * (target - rating))));
    }

    /** Drops the prices of all request classes but these. */
    public void retainClasses(Collection<RequestClassId> classes) {
        prices.keySet().retainAll(classes);
    }

    private static double clamp(double price) {
        return Math.max(MIN_PRICE_MICROS_PER_TOKEN, Math.min(MAX_PRICE_MICROS_PER_TOKEN, price));
    }
}
