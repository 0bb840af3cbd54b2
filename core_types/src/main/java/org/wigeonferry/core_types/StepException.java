package org.wigeonferry.core_types;

/**
 * An exception that names the step, that is, the operation that failed, and the location at which
 * it failed.
 *
 * <p>Immutable and thread safe.
 */
public class StepException extends Exception {
    private static final long serialVersionUID = 1L;
    private final String step;
    private final String location;

    /**
     * Creates an exception whose message ends with the given one.
     *
     * @param step the operation that failed, such as "read event"
     * @param location the process, address, file or key at which it failed
     * @param message what went wrong
     */
    public StepException(String step, String location, String message) {
        super(step + " at " + location + ": " + message);
        this.step = step;
        this.location = location;
    }

    /** Creates an exception whose message ends with the class and message of the cause. */
    public StepException(String step, String location, Throwable cause) {
        super(step + " at " + location + ": " + cause, cause);
        this.step = step;
        this.location = location;
    }

    /** Returns the operation that failed. */
    public String step() {
        return step;
    }

    /** Returns the process, address, file or key at which the step failed. */
    public String location() {
        return location;
    }
}
