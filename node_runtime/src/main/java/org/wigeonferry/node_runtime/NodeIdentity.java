package org.wigeonferry.node_runtime;

import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.ZoneId;
import org.wigeonferry.decisions.Role;

/**
 * Who this process is.
 *
 * <p>Immutable and thread safe.
 *
 * @param node its name; stays over restarts
 * @param role whether it is an entry or an agent
 * @param zone its availability zone
 * @param address where it serves its peers
 * @param startMillis start time in milliseconds; rises with every restart
 */
public record NodeIdentity(
        NodeId node, Role role, ZoneId zone, HostAddress address, long startMillis) {
    /** Name of this life of the process; no other life has the same. */
    public NodeId incarnationId() {
        return new NodeId(node.value() + "." + Long.toString(startMillis, Character.MAX_RADIX));
    }
}
