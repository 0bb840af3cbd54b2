package org.wigeonferry.decisions;

/**
 * Role of a process in this system.
 *
 * <p>Immutable and thread safe.
 */
public enum Role {
    /** Receives requests from callers and sends them to upstreams. */
    ENTRY,
    /** Runs beside one upstream and admits attempts on it. */
    AGENT
}
