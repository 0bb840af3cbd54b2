package org.wigeonferry.routing;

import java.util.Set;

/**
 * The routers that divide the global limits among them.
 *
 * <p>Immutable and thread safe.
 *
 * @param ownName name of this router
 * @param names names of the routers known to be alive
 * @param minCount lower bound on the assumed number of routers, also if fewer are known
 */
public record LiveRouters(String ownName, Set<String> names, int minCount) {
    public LiveRouters {
        names = Set.copyOf(names);
    }

    /** The number of routers among which limits are divided; at least 1. */
    public int assumedCount() {
        int known = names.contains(ownName) ? names.size() : names.size() + 1;
        return Math.max(known, minCount);
    }

    /**
     * This router's share of a global limit on one resource, such as an upstream.
     *
     * <p>The remainder of an even division goes, one each, to the first routers in an order hashed
     * from the resource. The order is the same in all routers, so the shares add up to the limit,
     * rounded down, if all know of each other.
     */
    public int shareOf(double limit, String resource) {
        int units = (int) Math.floor(limit);
        int evenShare = units / assumedCount();
        int remainder = units % assumedCount();
        return evenShare + (isGivenRemainderUnit(remainder, resource) ? 1 : 0);
    }

    /** If fewer routers than {@code minCount} are known, decides by this router's hash alone. */
    private boolean isGivenRemainderUnit(int remainder, String resource) {
        double ownHash = Hashes.fraction(resource + '@' + ownName);
        if (names.size() < minCount) {
            return ownHash < (double) remainder / assumedCount();
        }
        long routersBefore =
                names.stream()
                        .filter(name -> !name.equals(ownName))
                        .filter(name -> Hashes.fraction(resource + '@' + name) < ownHash)
                        .count();
        return routersBefore < remainder;
    }
}
