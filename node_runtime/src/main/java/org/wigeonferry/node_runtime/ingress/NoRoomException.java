package org.wigeonferry.node_runtime.ingress;

/**
 * The process has no room for a body; the request has not run.
 *
 * <p>Immutable and thread safe.
 */
public final class NoRoomException extends Exception {
    private static final long serialVersionUID = 1L;

    NoRoomException() {
        super("no room for the body of the request");
    }
}
