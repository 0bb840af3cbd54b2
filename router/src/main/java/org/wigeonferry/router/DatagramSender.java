package org.wigeonferry.router;

import org.wigeonferry.core_types.HostAddress;

/**
 * Sends datagrams, which may be lost.
 *
 * <p>Implementations are thread safe and never block.
 */
@FunctionalInterface
interface DatagramSender {
    void send(HostAddress peer, byte[] datagram);
}
