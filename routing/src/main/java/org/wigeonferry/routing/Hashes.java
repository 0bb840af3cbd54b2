package org.wigeonferry.routing;

/**
 * Hashes that are the same in all routers, so that they agree without messages.
 *
 * <p>Stateless and thread safe.
 */
final class Hashes {
    private Hashes() {}

    /** Maps a text to a pseudo-random number in [0, 1]. */
    static double fraction(String text) {
        return (mixBits(text.hashCode()) >>> 1) / (double) Integer.MAX_VALUE;
    }

    /** Maps a text and a key to a pseudo-random number in [0, 1]. */
    static double fraction(String text, int key) {
        return (mixBits(text.hashCode() ^ mixBits(key)) >>> 1) / (double) Integer.MAX_VALUE;
    }

    /** A key that stands for a text in messages between routers. */
    static int key(String text) {
        return mixBits(text.hashCode());
    }

    /** Makes every bit of the result depend on all bits of {@code hash} (lowbias32). */
    static int mixBits(int hash) {
        int mixed = (hash ^ (hash >>> 16)) * 0x7feb352d;
        mixed = (mixed ^ (mixed >>> 15)) * 0x846ca68b;
        return mixed ^ (mixed >>> 16);
    }
}
