package org.wigeonferry.router;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ReadPendingException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;
import org.wigeonferry.node_runtime.ingress.Ingress;
import org.wigeonferry.node_runtime.ingress.IngressEndPoint;

/**
 * A caller's connection that detects, while a request is handled, that the caller disconnected.
 *
 * <p>Jetty reads nothing between the end of a request and the end of its response. This end point
 * reads in that time, and buffers the bytes of a next request until Jetty asks for them. Invariant:
 * at most one read interest is registered with the selector, with {@link #readCallback}, which
 * serves both Jetty and the detection of disconnects. Thread safe.
 */
final class DisconnectDetectingEndPoint extends IngressEndPoint {
    private static final int READ_AHEAD_BYTES = 4096;

    /** Value of the socket option that lets the kernel send what is left after a close. */
    private static final int LINGER_DISABLED = -1;

    private static final Runnable NO_ACTION = () -> {};

    private final Callback readCallback = Callback.from(this::onReadable, this::onReadFailed);
    private ByteBuffer bufferedBytes = BufferUtil.EMPTY_BUFFER;
    private Callback fillCallback;
    private Runnable disconnectAction = NO_ACTION;
    private boolean readRegistered;
    private boolean inputClosed;

    DisconnectDetectingEndPoint(
            SocketChannel channel,
            ManagedSelector selector,
            SelectionKey key,
            Scheduler scheduler,
            Ingress ingress,
            Executor executor) {
        super(channel, selector, key, scheduler, ingress, executor);
    }

    /** The connection of a request that came through a {@link DisconnectDetectingConnector}. */
    static DisconnectDetectingEndPoint of(Request request) {
        return (DisconnectDetectingEndPoint)
                request.getConnectionMetaData().getConnection().getEndPoint();
    }

    /**
     * Runs the action if the caller disconnects before {@link #clearDisconnectAction}. Bytes of a
     * next request end the detection, since the connection is not read any further.
     */
    void onDisconnect(Runnable action) {
        synchronized (this) {
            disconnectAction = action;
            if (bufferedBytes.hasRemaining() || inputClosed) {
                return;
            }
        }
        registerRead();
    }

    /**
     * Sets whether the connection is reset when it is closed, by this process or by the kernel at
     * its end. Bytes that have not been sent by then are discarded.
     */
    void setResetOnClose(boolean reset) throws IOException {
        getChannel().setOption(StandardSocketOptions.SO_LINGER, reset ? 0 : LINGER_DISABLED);
    }

    synchronized void clearDisconnectAction() {
        disconnectAction = NO_ACTION;
    }

    @Override
    public void fillInterested(Callback callback) {
        if (!tryFillInterested(callback)) {
            throw new ReadPendingException();
        }
    }

    @Override
    public boolean tryFillInterested(Callback callback) {
        boolean readyNow;
        synchronized (this) {
            if (fillCallback != null) {
                return false;
            }
            readyNow = bufferedBytes.hasRemaining() || inputClosed;
            if (!readyNow) {
                fillCallback = callback;
            }
        }
        if (readyNow) {
            callback.succeeded();
        } else {
            registerRead();
        }
        return true;
    }

    @Override
    public synchronized boolean isFillInterested() {
        return fillCallback != null;
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        synchronized (this) {
            if (bufferedBytes.hasRemaining()) {
                int position = BufferUtil.flipToFill(buffer);
                int count = BufferUtil.put(bufferedBytes, buffer);
                BufferUtil.flipToFlush(buffer, position);
                return count;
            }
            if (inputClosed) {
                return -1;
            }
        }
        return super.fill(buffer);
    }

    private void registerRead() {
        synchronized (this) {
            if (readRegistered) {
                return;
            }
            readRegistered = true;
        }
        super.fillInterested(readCallback);
    }

    private void onReadable() {
        Callback callback;
        synchronized (this) {
            readRegistered = false;
            callback = fillCallback;
            fillCallback = null;
        }
        if (callback != null) {
            callback.succeeded();
            return;
        }
        detectDisconnect();
    }

    private void onReadFailed(Throwable cause) {
        Callback callback;
        Runnable action;
        synchronized (this) {
            readRegistered = false;
            callback = fillCallback;
            fillCallback = null;
            action = disconnectAction;
        }
        if (callback != null) {
            callback.failed(cause);
        } else if (cause instanceof TimeoutException) {
            registerReadIfDetectingDisconnect();
        } else {
            action.run();
        }
    }

    private void registerReadIfDetectingDisconnect() {
        synchronized (this) {
            if (disconnectAction == NO_ACTION) {
                return;
            }
        }
        registerRead();
    }

    private void detectDisconnect() {
        Runnable action;
        synchronized (this) {
            if (disconnectAction == NO_ACTION) {
                return;
            }
            if (readAhead() > 0) {
                return;
            }
            action = inputClosed ? disconnectAction : this::registerReadIfDetectingDisconnect;
        }
        action.run();
    }

    /**
     * Reads available bytes into the buffer; negative if the caller closed its side or on error.
     */
    private int readAhead() {
        ByteBuffer bytes = BufferUtil.allocate(READ_AHEAD_BYTES);
        int count;
        try {
            count = super.fill(bytes);
        } catch (IOException e) {
            count = -1;
        }
        inputClosed = count < 0;
        if (count > 0) {
            bufferedBytes = bytes;
        }
        return count;
    }
}
