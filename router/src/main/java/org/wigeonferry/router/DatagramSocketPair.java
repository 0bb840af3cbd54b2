package org.wigeonferry.router;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.DatagramChannel;
import java.util.Arrays;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.StepException;

/**
 * A socket that receives datagrams on a thread of its own, and one that sends them without
 * blocking.
 *
 * <p>Thread safe.
 */
public final class DatagramSocketPair implements DatagramSender, AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger("peers");

    /** Longer datagrams are cut when they are received. */
    static final int MAX_DATAGRAM_BYTES = 8 << 10;

    private final DatagramChannel receiver;
    private final DatagramChannel transmitter;

    /** Opens the sockets; {@link #receive} starts to read. */
    public DatagramSocketPair(HostAddress address) throws StepException {
        try {
            receiver = DatagramChannel.open();
            receiver.bind(new InetSocketAddress(address.host(), address.port()));
            transmitter = DatagramChannel.open();
            transmitter.configureBlocking(false);
        } catch (IOException e) {
            throw new StepException("open datagram sockets", address.toString(), e);
        }
    }

    /** Passes each datagram that arrives to a consumer, on a thread of its own, until closed. */
    public void receive(Consumer<byte[]> consumer) {
        Thread thread = new Thread(() -> receiveUntilClosed(consumer), "datagrams");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void send(HostAddress peer, byte[] datagram) {
        try {
            transmitter.send(
                    ByteBuffer.wrap(datagram), new InetSocketAddress(peer.host(), peer.port()));
        } catch (IOException | RuntimeException e) {
            LOG.atDebug()
                    .addKeyValue("peer", peer)
                    .addKeyValue("cause", e.toString())
                    .log("datagram not sent");
        }
    }

    @Override
    public void close() throws IOException {
        receiver.close();
        transmitter.close();
    }

    private void receiveUntilClosed(Consumer<byte[]> consumer) {
        ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
        while (receiver.isOpen()) {
            try {
                buffer.clear();
                receiver.receive(buffer);
                consumer.accept(Arrays.copyOf(buffer.array(), buffer.position()));
            } catch (ClosedChannelException e) {
                return;
            } catch (IOException e) {
                LOG.atWarn().addKeyValue("cause", e.toString()).log("no more datagrams received");
                return;
            }
        }
    }
}
