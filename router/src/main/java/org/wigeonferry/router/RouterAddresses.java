package org.wigeonferry.router;

import org.wigeonferry.core_types.HostAddress;

/**
 * Where a router listens.
 *
 * <p>Immutable and thread safe.
 *
 * @param callers requests to be routed
 * @param readiness readiness, for the balancer
 * @param metrics metrics as text, at {@code /metrics}
 */
public record RouterAddresses(HostAddress callers, HostAddress readiness, HostAddress metrics) {}
