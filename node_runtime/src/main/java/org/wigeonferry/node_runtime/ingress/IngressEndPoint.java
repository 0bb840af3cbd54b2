package org.wigeonferry.node_runtime.ingress;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A caller's connection that reports its progress to an {@link Ingress}.
 *
 * <p>Thread safe.
 */
public class IngressEndPoint extends SocketChannelEndPoint {
    private final GuardedConnection connection;
    private final AtomicBoolean counted = new AtomicBoolean();

    /** Creates an end point that is closed by one of the executor's threads if it is too slow. */
    public IngressEndPoint(
            SocketChannel channel,
            ManagedSelector selector,
            SelectionKey key,
            Scheduler scheduler,
            Ingress ingress,
            Executor executor) {
        super(channel, selector, key, scheduler);
        connection =
                new GuardedConnection(
                        ingress, () -> executor.execute(this::closeAsSlow), System.nanoTime());
    }

    static GuardedConnection connectionOf(EndPoint endPoint) {
        return ((IngressEndPoint) endPoint).connection;
    }

    private void closeAsSlow() {
        close(new IOException("caller is too slow while limits are reached"));
    }

    @Override
    public void onOpen() {
        super.onOpen();
        counted.set(true);
        if (!connection.ingress().tryAdd(connection)) {
            close(new IOException("too many connections"));
        }
    }

    @Override
    public void onClose(Throwable failure) {
        if (counted.compareAndSet(true, false)) {
            connection.ingress().remove(connection);
        }
        connection.releaseAll();
        super.onClose(failure);
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        int count = super.fill(buffer);
        if (count > 0) {
            connection.onReceived(count, System.nanoTime());
        }
        return count;
    }

    @Override
    public boolean flush(ByteBuffer... buffers) throws IOException {
        long before = BufferUtil.remaining(buffers);
        boolean complete = super.flush(buffers);
        connection.onSent(before - BufferUtil.remaining(buffers), complete, System.nanoTime());
        return complete;
    }
}
