package org.wigeonferry.decisions;

/**
 * A request that was in flight when an upstream crashed.
 *
 * <p>Immutable and thread safe.
 *
 * @param digest digest of the request's account, URL path and query, and body
 * @param answerBytes bytes of the answer that had arrived before the crash
 */
public record LostRequest(String digest, long answerBytes) {}
