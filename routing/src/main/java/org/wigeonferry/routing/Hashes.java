package org.wigeonferry.routing;

/**
 * Hashes that all entries compute alike.
 *
 * <p>Stateless and thread safe.
 */
final class Hashes {
    private Hashes() {}

    /** Draws from 0 to 1 for a text. */
    static double fraction(String text) {
        return (mixBits(text.hashCode()) >>> 1) / (double) Integer.MAX_VALUE;
    }

    /** Spreads a hash over all bits. */
    static int mixBits(int hash) {
        int mixed = (hash ^ (hash >>> 16)) * 0x7feb352d;
        mixed = (mixed ^ (mixed >>> 15)) * 0x846ca68b;
        return mixed ^ (mixed >>> 16);
    }
}
