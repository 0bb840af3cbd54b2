package org.wigeonferry.entry;

/**
 * Receives the bytes of an answer as they come.
 *
 * <p>Implementations call {@code demand} once they can take more, and keep nothing otherwise.
 */
@FunctionalInterface
interface ByteListener {
    void onBytes(byte[] data, Runnable demand);
}
