package org.wigeonferry.router;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/**
 * Takes the answer of one send.
 *
 * <p>Called by one thread at a time; exactly one of {@link #ended} and {@link #failed} comes last.
 */
public interface SendListener {
    /** The head of the answer. */
    void head(int status, HttpFields fields);

    /** Bytes of the body; the buffer is the listener's. */
    void bytes(ByteBuffer bytes);

    /** The answer is whole. */
    void ended();

    /**
     * The answer is not whole.
     *
     * @param written whether any byte of the request may have left
     */
    void failed(boolean written, Throwable cause);
}
