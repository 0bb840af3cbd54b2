package org.wigeonferry.core_types;

/**
 * A failure that names the step and the peer at which it arose.
 *
 * <p>Immutable and thread safe.
 */
public class StepException extends Exception {
    private static final long serialVersionUID = 1L;
    private final String step;
    private final String location;

    /** Makes a failure of a step at a peer. */
    public StepException(String step, String peer, String message) {
        super(step + " at " + peer + ": " + message);
        this.step = step;
        this.location = peer;
    }

    /** Makes a failure of a step at a peer with its cause. */
    public StepException(String step, String peer, Throwable cause) {
        super(step + " at " + peer + ": " + cause, cause);
        this.step = step;
        this.location = peer;
    }

    /** The step that failed. */
    public String step() {
        return step;
    }

    /** The peer, file or key at which it failed. */
    public String location() {
        return location;
    }
}
