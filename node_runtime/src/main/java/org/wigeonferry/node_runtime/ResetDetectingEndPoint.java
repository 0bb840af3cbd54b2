package org.wigeonferry.node_runtime;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.Arrays;
import java.util.Optional;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.BufferUtil;
import org.eclipse.jetty.util.thread.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A connection on which a TCP reset is a failure.
 *
 * <p>Jetty's own class treats a reset as the end of the stream, so a truncated answer whose end is
 * marked by the end of its connection would be taken for complete. The bytes that are not content
 * can be limited. A request of which bytes are unwritten at the end of its response fails. Thread
 * safe.
 */
final class ResetDetectingEndPoint extends SocketChannelEndPoint {
    private static final Logger LOG = LoggerFactory.getLogger(ResetDetectingEndPoint.class);

    private volatile Optional<OverheadLimit> overheadLimit = Optional.empty();
    private volatile boolean refusesBytes;
    private volatile boolean bytesRefused;
    private volatile boolean responseEnded;

    /** Whether the last write, now completed, left bytes that the socket did not take. */
    private volatile boolean bytesUnwritten;

    ResetDetectingEndPoint(
            SocketChannel channel,
            ManagedSelector selector,
            SelectionKey key,
            Scheduler scheduler) {
        super(channel, selector, key, scheduler);
    }

    @Override
    public int fill(ByteBuffer buffer) throws IOException {
        if (isInputShutdown()) {
            return -1;
        }
        int position = BufferUtil.flipToFill(buffer);
        try {
            int filled = ((SocketChannel) getChannel()).read(buffer);
            if (filled > 0) {
                notIdle();
                recordOverhead(filled);
            } else if (filled < 0) {
                shutdownInput();
            }
            return filled;
        } finally {
            BufferUtil.flipToFlush(buffer, position);
        }
    }

    @Override
    public boolean flush(ByteBuffer... buffers) throws IOException {
        bytesUnwritten = false;
        if (responseEnded && hasRemaining(buffers)) {
            throw unfinishedRequest();
        }
        boolean flushed = super.flush(buffers);
        bytesUnwritten = hasRemaining(buffers);
        if (responseEnded && bytesUnwritten) {
            throw unfinishedRequest();
        }
        return flushed;
    }

    /**
     * Makes writes fail from now on; true if the last write left bytes unwritten. A write that is
     * under way fails or succeeds by itself, as the peer may have read all of it already.
     */
    boolean endResponse() {
        responseEnded = true;
        return bytesUnwritten;
    }

    /** Fails reads of any bytes until the next {@link #beginExchange}. */
    void refuseBytes() {
        refusesBytes = true;
    }

    /** Whether the connection is open and the peer has sent nothing since {@link #refuseBytes}. */
    boolean isQuiet() {
        if (!isOpen() || isInputShutdown() || bytesRefused) {
            return false;
        }
        try {
            // The selector may not have seen yet what has arrived.
            return ((SocketChannel) getChannel()).read(ByteBuffer.allocate(1)) == 0;
        } catch (IOException e) {
            LOG.debug("idle connection lost", e);
            return false;
        }
    }

    /** Prepares for a request, and limits the bytes that are not reported as content. */
    OverheadLimit beginExchange() {
        refusesBytes = false;
        responseEnded = false;
        OverheadLimit limit = new OverheadLimit();
        overheadLimit = Optional.of(limit);
        return limit;
    }

    private static boolean hasRemaining(ByteBuffer... buffers) {
        return Arrays.stream(buffers).anyMatch(ByteBuffer::hasRemaining);
    }

    private static IOException unfinishedRequest() {
        return new IOException("the response ended before the request was written");
    }

    private void recordOverhead(int bytes) throws IOException {
        if (refusesBytes) {
            bytesRefused = true;
            throw new IOException("the peer sent bytes that answer no request");
        }
        Optional<OverheadLimit> limit = overheadLimit;
        if (limit.isPresent()) {
            limit.get().onRead(bytes);
        }
    }
}
