package org.wigeonferry.routing;

import java.util.Set;

/**
 * The entries that share the limits which hold for all of them together.
 *
 * <p>Immutable and thread safe.
 *
 * @param ownName the name of this entry
 * @param names the names of the entries known to live
 * @param minCount how many to reckon with, also if fewer are known
 */
public record LiveRouters(String ownName, Set<String> names, int minCount) {
    public LiveRouters {
        names = Set.copyOf(names);
    }

    /** How many entries to reckon with; 1 at least. */
    public int assumedCount() {
        int known = names.contains(ownName) ? names.size() : names.size() + 1;
        return Math.max(known, minCount);
    }

    /**
     * This entry's part of what all entries may do together in regard of one thing.
     *
     * <p>What is left after an even division goes to the first entries of an order that depends on
     * the thing and is the same at all of them, so that the parts add up to the whole where all
     * know of each other.
     */
    public int shareOf(double whole, String thing) {
        int units = (int) Math.floor(whole);
        int each = units / assumedCount();
        int rest = units % assumedCount();
        return each + (amongFirst(rest, thing) ? 1 : 0);
    }

    private boolean amongFirst(int places, String thing) {
        double mine = Hashes.fraction(thing + '@' + ownName);
        if (names.size() < minCount) {
            return mine < (double) places / assumedCount();
        }
        long before =
                names.stream()
                        .filter(name -> !name.equals(ownName))
                        .filter(name -> Hashes.fraction(thing + '@' + name) < mine)
                        .count();
        return before < places;
    }
}
