package org.wigeonferry.router;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadPendingException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * A caller's connection that notices while a request is handled that the caller left.
 *
 * <p>Jetty reads nothing between the end of a request and the end of its answer. This end point
 * reads in that time; a byte that belongs to a next request is kept for Jetty. Invariant: the
 * selector knows of one interest, {@link #ready}, behind which stand Jetty's and ours. Thread safe.
 */
final class DisconnectDetectingEndPoint extends SocketChannelEndPoint {
    private static final int PEEK_BYTES = 4096;
    private static final Runnable NOBODY = () -> {};

    private final Callback ready = Callback.from(this::readable, this::unreadable);
    private ByteBuffer kept = BufferUtil.EMPTY_BUFFER;
    private Callback reader;
    private Runnable departure = NOBODY;
    private boolean armed;
    private boolean ended;

    DisconnectDetectingEndPoint(
            SocketChannel channel,
            ManagedSelector selector,
            SelectionKey key,
            Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    /** Runs an action once if the caller leaves before {@link #clearDisconnectAction}. */
    void onDisconnect(Runnable action) {
        synchronized (this) {
            departure = action;
            if (kept.hasRemaining() || ended) {
                return;
            }
        }
        arm();
    }

    /** Forgets the action. */
    synchronized void clearDisconnectAction() {
        departure = NOBODY;
    }

    @Override
    public void fillInterested(Callback callback) {
        if (!tryFillInterested(callback)) {
            throw new ReadPendingException();
        }
    }

    @Override
    public boolean tryFillInterested(Callback callback) {
        boolean now;
        synchronized (this) {
            if (reader != null) {
                return false;
            }
            now = kept.hasRemaining() || ended;
            if (!now) {
                reader = callback;
            }
        }
        if (now) {
            callback.succeeded();
        } else {
            arm();
        }
        return true;
    }

    @Override
    public synchronized boolean isFillInterested() {
        return reader != null;
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        synchronized (this) {
            if (kept.hasRemaining()) {
                int position = BufferUtil.flipToFill(buffer);
                int count = BufferUtil.put(kept, buffer);
                BufferUtil.flipToFlush(buffer, position);
                return count;
            }
            if (ended) {
                return -1;
            }
        }
        return super.fill(buffer);
    }

    private void arm() {
        synchronized (this) {
            if (armed) {
                return;
            }
            armed = true;
        }
        super.fillInterested(ready);
    }

    private void readable() {
        Callback waiting;
        synchronized (this) {
            armed = false;
            waiting = reader;
            reader = null;
        }
        if (waiting != null) {
            waiting.succeeded();
            return;
        }
        peek();
    }

    private void unreadable(Throwable cause) {
        Callback waiting;
        Runnable action;
        synchronized (this) {
            armed = false;
            waiting = reader;
            reader = null;
            action = departure;
        }
        if (waiting != null) {
            waiting.failed(cause);
        } else if (cause instanceof TimeoutException) {
            rearm();
        } else {
            action.run();
        }
    }

    private void rearm() {
        synchronized (this) {
            if (departure == NOBODY) {
                return;
            }
        }
        arm();
    }

    private void peek() {
        Runnable action;
        synchronized (this) {
            if (departure == NOBODY) {
                return;
            }
            if (peeked() > 0) {
                return;
            }
            action = ended ? departure : this::rearm;
        }
        action.run();
    }

    /** Reads what is there; negative once the caller's side is closed. */
    private int peeked() {
        ByteBuffer bytes = BufferUtil.allocate(PEEK_BYTES);
        int count;
        try {
            count = super.fill(bytes);
        } catch (IOException e) {
            count = -1;
        }
        ended = count < 0;
        if (count > 0) {
            kept = bytes;
        }
        return count;
    }
}
