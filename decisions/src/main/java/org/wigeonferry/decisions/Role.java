package org.wigeonferry.decisions;

/**
 * The part that a process plays.
 *
 * <p>Immutable and thread safe.
 */
public enum Role {
    /** Answers callers. */
    ENTRY,
    /** Guards one upstream. */
    AGENT
}
