package org.wigeonferry.routing;

/**
 * The load that an upstream reports with an answer.
 *
 * <p>Immutable and thread safe.
 *
 * @param running requests that the upstream is processing
 * @param waiting requests in the upstream's queue
 * @param slots number of requests that the upstream processes concurrently
 */
public record ReportedLoad(int running, int waiting, int slots) {}
