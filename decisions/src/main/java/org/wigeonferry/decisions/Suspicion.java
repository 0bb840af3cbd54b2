package org.wigeonferry.decisions;

/**
 * Suspicion that a request crashes upstreams.
 *
 * <p>Immutable and thread safe.
 *
 * @param digest digest of account and body
 * @param condemned whether the request is known to be the cause
 * @param atNanos monotonic time of the last crash
 */
public record Suspicion(String digest, boolean condemned, long atNanos) {}
