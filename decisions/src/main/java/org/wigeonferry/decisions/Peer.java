package org.wigeonferry.decisions;

import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.ZoneId;

/**
 * A process of this system, as seen by another.
 *
 * <p>Immutable and thread safe.
 *
 * @param node its name
 * @param role whether it is an entry or an agent
 * @param zone its availability zone
 * @param address where it serves its peers
 * @param incarnation rises with every restart
 * @param lastSeenNanos monotonic time at which it was last known to live
 */
public record Peer(
        NodeId node,
        Role role,
        ZoneId zone,
        HostAddress address,
        long incarnation,
        long lastSeenNanos) {}
