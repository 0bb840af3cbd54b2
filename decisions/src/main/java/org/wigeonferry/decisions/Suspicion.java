package org.wigeonferry.decisions;

/**
 * Suspicion that a request crashes upstreams.
 *
 * <p>Immutable and thread safe.
 *
 * @param digest request digest, of account, URL path and query, and body
 * @param poison whether the request is known to be the cause of crashes
 * @param answerBytes bytes of the answer that had arrived at the last crash
 * @param crashes number of crashes with the request in flight
 * @param lastCrashNanos monotonic time of the last crash
 */
public record Suspicion(
        String digest, boolean poison, long answerBytes, int crashes, long lastCrashNanos) {}
