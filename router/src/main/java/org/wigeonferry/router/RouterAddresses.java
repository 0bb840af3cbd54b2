package org.wigeonferry.router;

import org.wigeonferry.core_types.HostAddress;

/**
 * The addresses on which a router listens.
 *
 * <p>Immutable and thread safe.
 *
 * @param callers for the requests of callers
 * @param readiness for the readiness checks of the load balancer
 * @param metrics for metrics as text, at {@code /metrics}
 */
public record RouterAddresses(HostAddress callers, HostAddress readiness, HostAddress metrics) {}
