package org.wigeonferry.routing;

import java.util.OptionalInt;

/**
 * The load that an upstream reports with an answer.
 *
 * <p>Immutable and thread safe.
 *
 * @param running requests that the upstream is processing
 * @param waiting requests in the upstream's queue
 * @param slots number of requests that the upstream processes concurrently
 * @param pacePercent how long work takes on the upstream's host at present, in percent of the usual
 *     time; empty if it reports none
 */
public record ReportedLoad(int running, int waiting, int slots, OptionalInt pacePercent) {}
