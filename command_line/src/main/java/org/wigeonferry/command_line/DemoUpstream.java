package org.wigeonferry.command_line;

import org.wigeonferry.core_types.HostAddress;

/**
 * An upstream of a demo deployment and its agent.
 *
 * <p>Immutable and thread safe.
 *
 * @param name name of the upstream
 * @param zone availability zone
 * @param kind {@code engine} or {@code desk}
 * @param address where the upstream listens
 * @param agentAddress where the agent listens
 */
public record DemoUpstream(
        String name, String zone, String kind, HostAddress address, HostAddress agentAddress) {
    /** Tells whether this is a model engine. */
    public boolean engine() {
        return kind.equals("engine");
    }
}
