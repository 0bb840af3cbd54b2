package org.wigeonferry.entry;

import org.eclipse.jetty.util.Callback;

/**
 * Receives the bytes of an answer as they arrive.
 *
 * <p>Implementations complete the callback once they are ready for more bytes. Failing the callback
 * aborts the request to the agent.
 */
@FunctionalInterface
interface ByteListener {
    void onBytes(byte[] data, Callback callback);
}
