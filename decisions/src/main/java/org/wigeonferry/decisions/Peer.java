package org.wigeonferry.decisions;

import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.ZoneId;

/**
 * A process of this system, as another process knows it.
 *
 * <p>Immutable and thread safe.
 *
 * @param node name of the process
 * @param role whether it is an entry or an agent
 * @param zone availability zone of the process
 * @param address address at which it answers other processes
 * @param incarnation number that rises with every start of the process
 * @param lastSeenNanos monotonic time at which it was last known to be alive
 */
public record Peer(
        NodeId node,
        Role role,
        ZoneId zone,
        HostAddress address,
        long incarnation,
        long lastSeenNanos) {}
