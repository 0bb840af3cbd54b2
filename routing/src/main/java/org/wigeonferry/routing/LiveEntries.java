package org.wigeonferry.routing;

import java.util.Set;

/**
 * The entries that share the limits which hold for all of them together.
 *
 * <p>Immutable and thread safe.
 *
 * @param own the name of this entry
 * @param names the names of the entries known to live
 * @param atLeast how many to reckon with, also if fewer are known
 */
public record LiveEntries(String own, Set<String> names, int atLeast) {
    public LiveEntries {
        names = Set.copyOf(names);
    }

    /** How many entries to reckon with; 1 at least. */
    public int count() {
        int known = names.contains(own) ? names.size() : names.size() + 1;
        return Math.max(known, atLeast);
    }

    /**
     * This entry's part of what all entries may do together in regard of one thing.
     *
     * <p>What is left after an even division goes to the first entries of an order that depends on
     * the thing and is the same at all of them, so that the parts add up to the whole where all
     * know of each other.
     */
    public int part(double whole, String thing) {
        int units = (int) Math.floor(whole);
        int each = units / count();
        int rest = units % count();
        return each + (amongFirst(rest, thing) ? 1 : 0);
    }

    private boolean amongFirst(int places, String thing) {
        double mine = Hashes.fraction(thing + '@' + own);
        if (names.size() < atLeast) {
            return mine < (double) places / count();
        }
        long before =
                names.stream()
                        .filter(name -> !name.equals(own))
                        .filter(name -> Hashes.fraction(thing + '@' + name) < mine)
                        .count();
        return before < places;
    }
}
