package org.wigeonferry.routing.waiting;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Engine time that the accounts have used lately at a service, as sent by this router. All accounts
 * have equal shares.
 *
 * <p>Handles an account that sends many times its usual traffic: its requests are ordered behind
 * those of accounts that have used less. Invariant: uses decay by half in {@link #HALF_LIFE}. Owned
 * by the control thread.
 */
public final class AccountUse {
    /** Long enough that a burst of some seconds counts as a whole. */
    private static final Duration HALF_LIFE = Duration.ofSeconds(5);

    /**
     * Uses up to this many times the share count as within it, since the uses of accounts that send
     * the same differ by chance.
     */
    private static final double SHARE_TOLERANCE = 1.25;

    /** Largest excess that counts, so that no account falls behind requests of the next rank. */
    private static final int MAX_EXCESS = 7;

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

    /** Orders requests by rank, then by {@link #excess}; the lowest number leaves first. */
    static int priority(int rank, int excess) {
        return rank * (MAX_EXCESS + 1) + excess;
    }

    /**
     * How often an account has doubled its share; 0 while it is within it.
     *
     * @param waiting accounts that have a share although they may have used nothing
     */
    int excess(String account, Set<String> waiting) {
        double total = costs.values().stream().mapToDouble(cost -> cost).sum();
        long others = waiting.stream().filter(name -> !costs.containsKey(name)).count();
        double share = SHARE_TOLERANCE * total / Math.max(1, costs.size() + others);
        return use(account) <= share
                ? 0
                : Math.min(MAX_EXCESS, 1 + Math.getExponent(use(account) / share));
    }

    private void decay(long nowNanos) {
        double halfLives = (double) (nowNanos - updatedNanos) / HALF_LIFE.toNanos();
        updatedNanos = nowNanos;
        double factor = Math.pow(0.5, Math.max(0, halfLives));
        costs.replaceAll((account, cost) -> cost * factor);
        costs.values().removeIf(cost -> cost < NEGLIGIBLE_COST);
    }
}
