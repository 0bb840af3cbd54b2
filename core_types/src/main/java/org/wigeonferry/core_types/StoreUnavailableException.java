package org.wigeonferry.core_types;

/**
 * The platform's store gave no answer: the request may or may not have taken effect.
 *
 * <p>Immutable and thread safe.
 */
public final class StoreUnavailableException extends StepException {
    private static final long serialVersionUID = 1L;

    /** Names the step and the store. */
    public StoreUnavailableException(String step, String peer, Throwable cause) {
        super(step, peer, cause);
    }
}
