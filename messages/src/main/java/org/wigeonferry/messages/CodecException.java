package org.wigeonferry.messages;

import org.wigeonferry.core_types.StepException;

/**
 * Bytes that are not a message of this system.
 *
 * <p>Immutable and thread safe.
 */
public final class CodecException extends StepException {
    private static final long serialVersionUID = 1L;

    /** Names what was wrong with the bytes. */
    public CodecException(String step, String message) {
        super(step, "peer", message);
    }

    /** Names the step and keeps the cause. */
    public CodecException(String step, Throwable cause) {
        super(step, "peer", cause);
    }
}
