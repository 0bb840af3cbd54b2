package org.wigeonferry.command_line;

/**
 * How a request ended, as its caller sees it.
 *
 * <p>Immutable and thread safe.
 */
public enum DemoEnd {
    /** The whole answer came. */
    ANSWERED,
    /** The router says that it was not run. */
    NOT_RUN,
    /** Nobody knows. */
    UNKNOWN
}
