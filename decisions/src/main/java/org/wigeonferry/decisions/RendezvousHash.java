package org.wigeonferry.decisions;

/**
 * Weighs pairs of names so that every process finds the same subset for itself.
 *
 * <p>Stateless and thread safe.
 */
final class RendezvousHash {
    private static final long OFFSET = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    private RendezvousHash() {}

    /** Weight of a pair; spread evenly over all values of a long. */
    static long weight(String a, String b) {
        long hash = OFFSET;
        hash = mixIn(hash, a);
        hash = mixIn(hash, "/");
        return finish(mixIn(hash, b));
    }

    private static long mixIn(long start, String text) {
        long hash = start;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * PRIME;
        }
        return hash;
    }

    private static long finish(long hash) {
        long mixed = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
