package org.wigeonferry.decisions;

/**
 * Suspicion that a request crashes upstreams.
 *
 * <p>Immutable and thread safe.
 *
 * @param digest digest of account and body
 * @param condemned whether the request is known to be the cause
 * @param position bytes of the answer that had come at the last loss
 * @param losses number of losses with the request in flight
 * @param atNanos monotonic time of the last loss
 */
public record Suspicion(
        String digest, boolean condemned, long position, int losses, long atNanos) {}
