package org.wigeonferry.entry;

import org.eclipse.jetty.util.Callback;

/**
 * Receives the bytes of an answer as they come.
 *
 * <p>Implementations complete the callback once they can take more; its failure gives the answer
 * up.
 */
@FunctionalInterface
interface ByteListener {
    void onBytes(byte[] data, Callback taken);
}
