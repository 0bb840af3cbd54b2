package org.wigeonferry.routing;

/**
 * How soon other routers should learn what this one has seen of poison requests.
 *
 * <p>Immutable and thread safe.
 */
public enum PoisonNews {
    /** Nothing is new. */
    NONE,
    /** A first crash counts against a suspect. */
    FIRST_CRASH,
    /** A repeated crash counts against a suspect, or a suspect of several crashes was answered. */
    REPEATED_CRASH
}
