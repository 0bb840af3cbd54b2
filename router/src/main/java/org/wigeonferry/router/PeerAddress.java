package org.wigeonferry.router;

import org.wigeonferry.core_types.HostAddress;

/**
 * Where a router takes the load reports of the other routers of its availability zone.
 *
 * <p>Immutable and thread safe.
 */
public record PeerAddress(String zone, HostAddress address) {}
