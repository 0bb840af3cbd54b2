package org.wigeonferry.node_runtime.ingress;

/**
 * What a connection waits for.
 *
 * <p>Immutable and thread safe.
 */
enum ConnectionPhase {
    /** The first byte of a request. */
    IDLE,
    /** The rest of a head. */
    HEAD,
    /** The rest of a body. */
    BODY,
    /** The response of this process. */
    HANDLING
}
