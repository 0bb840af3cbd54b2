package org.wigeonferry.router;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/**
 * Receives the response of one send.
 *
 * <p>Called by one thread at a time; exactly one of {@link #onComplete} and {@link #onFailure}
 * comes last.
 */
public interface SendListener {
    /**
     * Called before the request is sent on a connection that has served other requests: responses
     * to those may still arrive on it.
     */
    void onReusedConnection();

    /** Called with the status and header fields of the response. */
    void onHeaders(int status, HttpFields fields);

    /** Called with bytes of the body; the listener may keep the buffer. */
    void onBody(ByteBuffer bytes);

    /** Called when the response is complete. */
    void onComplete();

    /**
     * Called when no complete response will come.
     *
     * @param mayHaveBeenSent whether any byte of the request may have been sent
     */
    void onFailure(boolean mayHaveBeenSent, Throwable cause);
}
