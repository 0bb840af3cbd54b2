package org.wigeonferry.agent;

import java.nio.ByteBuffer;
import java.util.List;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.wigeonferry.messages.CodecException;
import org.wigeonferry.messages.FrameEncoder;
import org.wigeonferry.messages.gen.FrameMessage;
import org.wigeonferry.node_runtime.HttpPeerTransport;

/**
 * Writes the frames of one attempt's answer to the entry that sent the order.
 *
 * <p>Only one write may be in progress: the next may start when the callback of the one before
 * succeeds. Not thread safe; one sink belongs to one attempt.
 */
final class FrameSink {
    private static final int OK = 200;

    private final Response response;
    private final Callback callback;

    FrameSink(Response response, Callback callback) {
        this.response = response;
        this.callback = callback;
        response.setStatus(OK);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, HttpPeerTransport.CONTENT_TYPE);
    }

    /** Writes frames; the callback fails if the connection to the entry failed. */
    void write(List<FrameMessage> frames, Callback onWritten) {
        try {
            response.write(false, encode(frames), onWritten);
        } catch (CodecException e) {
            onWritten.failed(e);
        }
    }

    /** Writes the last frame and ends the HTTP response. */
    void finish(FrameMessage frame) {
        try {
            response.write(true, FrameEncoder.encode(frame), callback);
        } catch (CodecException e) {
            callback.failed(e);
        }
    }

    private static ByteBuffer encode(List<FrameMessage> frames) throws CodecException {
        int length = 0;
        ByteBuffer[] buffers = new ByteBuffer[frames.size()];
        for (int i = 0; i < buffers.length; i++) {
            buffers[i] = FrameEncoder.encode(frames.get(i));
            length += buffers[i].remaining();
        }
        ByteBuffer combined = ByteBuffer.allocate(length);
        for (ByteBuffer buffer : buffers) {
            combined.put(buffer);
        }
        return combined.flip();
    }
}
