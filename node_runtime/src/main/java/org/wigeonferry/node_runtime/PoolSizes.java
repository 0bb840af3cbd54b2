package org.wigeonferry.node_runtime;

/**
 * Sizes of the thread pools of HTTP clients and servers.
 *
 * <p>Stateless and thread safe.
 */
final class PoolSizes {
    /** Number of threads that a pool keeps when idle. */
    static final int MIN_POOL_THREADS = 4;

    /** Few threads are enough because requests are handled asynchronously. */
    static final int MAX_POOL_THREADS = 32;

    private PoolSizes() {}
}
