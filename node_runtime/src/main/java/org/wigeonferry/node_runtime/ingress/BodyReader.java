package org.wigeonferry.node_runtime.ingress;

import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/**
 * Reads the body of one request into memory that the process has room for.
 *
 * <p>Copies the bytes, so that no network buffer is kept for them however small the pieces are.
 * Used by one thread at a time.
 */
public final class BodyReader implements Runnable {
    /** Bodies up to this size are not counted, so that ordinary requests are read at any load. */
    private static final int UNCOUNTED_BYTES = 16 << 10;

    private final Request request;
    private final int maxBytes;
    private final RequestHold hold;
    private final CompletableFuture<byte[]> result = new CompletableFuture<>();
    private byte[] bytes = new byte[0];
    private int size;

    private BodyReader(Request request, int maxBytes) {
        this.request = request;
        this.maxBytes = maxBytes;
        hold = RequestHold.of(request);
    }

    /**
     * Reads the body; the future fails if it is longer than {@code maxBytes}, and with a {@link
     * NoRoomException} if the process has no room for it.
     */
    public static CompletableFuture<byte[]> read(Request request, int maxBytes) {
        return new BodyReader(request, maxBytes).start();
    }

    private CompletableFuture<byte[]> start() {
        hold.connection().onBodyStart(System.nanoTime());
        run();
        return result;
    }

    @Override
    public void run() {
        while (true) {
            Content.Chunk chunk = request.read();
            if (chunk == null) {
                request.demand(this);
                return;
            }
            if (Content.Chunk.isFailure(chunk)) {
                fail(chunk.getFailure());
                return;
            }
            if (!append(chunk)) {
                return;
            }
            if (chunk.isLast()) {
                complete();
                return;
            }
        }
    }

    private boolean append(Content.Chunk chunk) {
        int count = chunk.remaining();
        try {
            if (count > maxBytes - size) {
                fail(new IllegalStateException("body longer than " + maxBytes + " bytes"));
                return false;
            }
            if (!ensureCapacity(size + count)) {
                fail(new NoRoomException());
                return false;
            }
            chunk.getByteBuffer().get(bytes, size, count);
            size += count;
            return true;
        } finally {
            chunk.release();
        }
    }

    private boolean ensureCapacity(int needed) {
        if (needed <= bytes.length) {
            return true;
        }
        long length = request.getLength();
        int maxNeeded = length < 0 ? maxBytes : (int) Math.min(length, maxBytes);
        int capacity = Math.max(needed, Math.min(maxNeeded, Math.max(2 * size, UNCOUNTED_BYTES)));
        return resize(capacity);
    }

    private boolean resize(int capacity) {
        if (!hold.tryAdd(heldBytes(capacity))) {
            return false;
        }
        int old = bytes.length;
        bytes = Arrays.copyOf(bytes, capacity);
        hold.remove(heldBytes(old));
        return true;
    }

    private static long heldBytes(int capacity) {
        return capacity <= UNCOUNTED_BYTES ? 0 : capacity;
    }

    /** A body of unknown length may have been given more room than it needs. */
    private void complete() {
        hold.connection().onBodyEnd(System.nanoTime());
        if (size < bytes.length) {
            bytes = Arrays.copyOf(bytes, size);
        }
        result.complete(bytes);
    }

    private void fail(Throwable cause) {
        hold.connection().onBodyEnd(System.nanoTime());
        bytes = new byte[0];
        result.completeExceptionally(cause);
    }
}
