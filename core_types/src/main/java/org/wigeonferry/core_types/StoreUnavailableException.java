package org.wigeonferry.core_types;

/**
 * Thrown if the platform's table service does not answer: the operation may or may not have taken
 * effect.
 *
 * <p>Immutable and thread safe.
 */
public final class StoreUnavailableException extends StepException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception for a failed operation of the table service.
     *
     * @param step the operation that failed
     * @param address the address of the table service
     * @param cause why there is no answer
     */
    public StoreUnavailableException(String step, String address, Throwable cause) {
        super(step, address, cause);
    }
}
