package org.wigeonferry.routing.waiting;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Engine time that the accounts have used lately at a service, as sent by this router. All accounts
 * have equal shares.
 *
 * <p>Answers an account that sends many times its usual traffic: its requests are ordered behind
 * those of accounts that have used less. Invariant: uses decay by half in {@link #HALF_LIFE}. Owned
 * by the control thread.
 */
public final class AccountUse {
    /** Long enough that a burst of some seconds counts as a whole. */
    private static final Duration HALF_LIFE = Duration.ofSeconds(5);

    /** A use this small orders nothing any more. */
    private static final double NEGLIGIBLE_COST = 1;

    private final Map<String, Double> costs = new HashMap<>();
    private long updatedNanos;

    /** Adds the cost of a request that was sent. */
    public void add(String account, double cost, long nowNanos) {
        decay(nowNanos);
        costs.merge(account, cost, Double::sum);
    }

    /** Part of the engine time of all accounts that one account has used, from 0 to 1. */
    public double shareOf(String account) {
        double total = costs.values().stream().mapToDouble(cost -> cost).sum();
        return total <= 0 ? 0 : use(account) / total;
    }

    /** Use of an account; all uses are of the same time, so they can be compared. */
    double use(String account) {
        return costs.getOrDefault(account, 0.0);
    }

    private void decay(long nowNanos) {
        double halfLives = (double) (nowNanos - updatedNanos) / HALF_LIFE.toNanos();
        updatedNanos = nowNanos;
        double factor = Math.pow(0.5, Math.max(0, halfLives));
        costs.replaceAll((account, cost) -> cost * factor);
        costs.values().removeIf(cost -> cost < NEGLIGIBLE_COST);
    }
}
