package org.wigeonferry.routing;

/**
 * What one router has under way at an upstream.
 *
 * <p>Immutable and thread safe.
 *
 * @param upstreamKey {@link Hashes#key} of the upstream's id
 * @param queuedTokens weighted prompt tokens of sends without response headers
 * @param runningSends sends that have not ended
 * @param heldTokens tokens of memory that these sends may take, prompts and answers together
 */
public record OwnLoad(int upstreamKey, int queuedTokens, int runningSends, int heldTokens) {}
