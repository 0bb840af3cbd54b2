package org.wigeonferry.router;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/**
 * Takes the answer of one send.
 *
 * <p>Called by one thread at a time; exactly one of {@link #onComplete} and {@link #onFailure}
 * comes last.
 */
public interface SendListener {
    /** The head of the answer. */
    void onHeaders(int status, HttpFields fields);

    /** Bytes of the body; the buffer is the listener's. */
    void onBody(ByteBuffer bytes);

    /** The answer is whole. */
    void onComplete();

    /**
     * The answer is not whole.
     *
     * @param written whether any byte of the request may have left
     */
    void onFailure(boolean written, Throwable cause);
}
