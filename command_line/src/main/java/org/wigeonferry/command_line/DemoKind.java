package org.wigeonferry.command_line;

/**
 * Kinds of requests that the demo sends.
 *
 * <p>Immutable and thread safe.
 */
public enum DemoKind {
    /** A draft for which the router chooses the version. */
    DRAFT,
    /** A streamed draft. */
    STREAM,
    /** A booking, some of them sent again. */
    BOOKING,
    /** An idempotent look-up. */
    LOOKUP,
    /** A request for a version that the account doesn't allow. */
    FORBIDDEN
}
