package org.wigeonferry.decisions;

/**
 * Hashes pairs of names for rendezvous (highest random weight) hashing: FNV-1a over the characters,
 * with the finalizer of MurmurHash3.
 *
 * <p>The value depends on the two names only, so every process computes the same. Stateless and
 * thread safe.
 */
final class RendezvousHash {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHash() {}

    /** Weight of a pair of names; spread evenly over all values of a long. */
    static long weight(String first, String second) {
        long hash = FNV_OFFSET_BASIS;
        hash = fnv1a(hash, first);
        hash = fnv1a(hash, "/");
        return murmurFinalize(fnv1a(hash, second));
    }

    private static long fnv1a(long initialHash, String text) {
        long hash = initialHash;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    private static long murmurFinalize(long hash) {
        long mixed = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
