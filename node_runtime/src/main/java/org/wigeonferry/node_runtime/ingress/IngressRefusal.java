package org.wigeonferry.node_runtime.ingress;

/**
 * Which limit a refused connection or request would exceed.
 *
 * <p>Immutable and thread safe.
 */
enum IngressRefusal {
    /** Open connections. */
    CONNECTIONS,
    /** Memory of requests. */
    HELD_BYTES,
    /** Fields of a head. */
    HEADER_FIELDS,
    /** Requests ahead of responses. */
    PIPELINED
}
