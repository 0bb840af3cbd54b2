package org.wigeonferry.node_runtime;

/**
 * Sizes of the pools of traffic threads.
 *
 * <p>Stateless and thread safe.
 */
final class PoolSizes {
    /** Threads that a pool keeps. */
    static final int MIN_POOL_THREADS = 4;

    /** Most threads of a pool; traffic is asynchronous and needs few. */
    static final int MAX_POOL_THREADS = 32;

    private PoolSizes() {}
}
