package org.wigeonferry.routing;

/**
 * An upstream's own count of its work.
 *
 * <p>Immutable and thread safe.
 */
public record ReportedLoad(int running, int waiting, int slots) {}
