package org.wigeonferry.node_runtime.ingress;

/**
 * Limits on what all callers of a process may hold together.
 *
 * <p>Immutable and thread safe.
 *
 * @param connections largest number of open connections
 * @param heldBytes largest sum of the bytes of requests that are kept in memory
 * @param headerFields largest number of header fields of a request
 * @param pipelinedRequests largest number of requests that a connection sends ahead of responses
 * @param sendBytesPerSecond least rate at which a caller sends a request, under pressure
 * @param readBytesPerSecond least rate at which a caller reads a response, under pressure
 */
public record IngressLimits(
        int connections,
        long heldBytes,
        int headerFields,
        int pipelinedRequests,
        int sendBytesPerSecond,
        int readBytesPerSecond) {
    /**
     * File descriptors per connection of a caller. The others are for connections to upstreams,
     * peers and the store, for files, and for connections that are being closed.
     */
    private static final int DESCRIPTORS_PER_CONNECTION = 3;

    private static final int PERCENT = 100;

    /** The same limits, with no more connections than a third of the process's descriptors. */
    public IngressLimits withDescriptors(long descriptors) {
        int allowed = (int) Math.min(connections, descriptors / DESCRIPTORS_PER_CONNECTION);
        return new IngressLimits(
                allowed,
                heldBytes,
                headerFields,
                pipelinedRequests,
                sendBytesPerSecond,
                readBytesPerSecond);
    }

    /** Part of a heap that requests may hold. */
    public static long shareOfHeap(long heapBytes, int percent) {
        return heapBytes / PERCENT * percent;
    }
}
