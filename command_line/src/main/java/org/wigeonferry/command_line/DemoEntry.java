package org.wigeonferry.command_line;

import org.wigeonferry.core_types.HostAddress;

/**
 * An entry of a demo deployment.
 *
 * <p>Immutable and thread safe.
 *
 * @param name name of the process
 * @param zone availability zone
 * @param callers where callers connect
 * @param admins where operators connect
 * @param peers where its own kind connects
 */
public record DemoEntry(
        String name, String zone, HostAddress callers, HostAddress admins, HostAddress peers) {}
