package org.wigeonferry.messages;

import org.wigeonferry.core_types.StepException;

/**
 * Thrown if a message can't be encoded, or if bytes from a peer can't be decoded.
 *
 * <p>Immutable and thread safe.
 */
public final class CodecException extends StepException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates a failure with the given message.
     *
     * @param step the operation that failed, such as "read frame"
     * @param message what was wrong with the bytes
     */
    public CodecException(String step, String message) {
        super(step, "peer", message);
    }

    /** Creates a failure of an operation with the exception that caused it. */
    public CodecException(String step, Throwable cause) {
        super(step, "peer", cause);
    }
}
