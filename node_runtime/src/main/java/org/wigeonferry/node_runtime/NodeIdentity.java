package org.wigeonferry.node_runtime;

import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.ZoneId;
import org.wigeonferry.decisions.Role;

/**
 * Name, role and location of this process.
 *
 * <p>Immutable and thread safe.
 *
 * @param node its name, the same after a restart
 * @param role whether it is an entry or an agent
 * @param zone its availability zone
 * @param address the address on which it listens for other processes of the system
 * @param startMillis start time in milliseconds since the Unix epoch; rises with every restart
 */
public record NodeIdentity(
        NodeId node, Role role, ZoneId zone, HostAddress address, long startMillis) {
    /** The node name with the start time, which no other incarnation of the process has. */
    public NodeId incarnationId() {
        return new NodeId(node.value() + "." + Long.toString(startMillis, Character.MAX_RADIX));
    }
}
