package org.wigeonferry.routing;

import java.time.Duration;

/**
 * A load that an upstream reported to a router, as that router forwards it.
 *
 * <p>Immutable and thread safe.
 *
 * @param upstreamKey {@link Hashes#key} of the upstream's id
 * @param age time since the router received the report
 */
public record AgedLoad(int upstreamKey, ReportedLoad load, Duration age) {}
