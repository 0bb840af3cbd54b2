package org.wigeonferry.node_runtime;

/**
 * Sizes of the pools of traffic threads.
 *
 * <p>Stateless and thread safe.
 */
final class Threads {
    /** Threads that a pool keeps. */
    static final int MIN = 4;

    /** Most threads of a pool; traffic is asynchronous and needs few. */
    static final int MAX = 32;

    private Threads() {}
}
