package org.wigeonferry.entry;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.wigeonferry.node_runtime.ApiError;
import org.wigeonferry.node_runtime.Replies;

/**
 * An answer that is forwarded to the caller while it arrives, as server-sent events.
 *
 * <p>More bytes are requested only after the previous write to the caller has completed. A copy is
 * kept for rating; data that would make it longer than {@link #MAX_RATED_BYTES} is omitted from it.
 * Used by one attempt at a time.
 */
final class StreamedAnswer implements AnswerSink {
    private static final int OK = 200;
    private static final int MAX_RATED_BYTES = 64 << 10;
    private static final String SSE_DONE_EVENT = "data: [DONE]\n\n";

    private final Response response;
    private final Callback callback;
    private final ChatReplies replies;
    private final ByteArrayOutputStream ratedCopy = new ByteArrayOutputStream();
    private long offset;
    private volatile boolean headersSent;
    private volatile boolean callerDisconnected;

    StreamedAnswer(Response response, Callback callback, ChatReplies replies) {
        this.response = response;
        this.callback = callback;
        this.replies = replies;
    }

    @Override
    public void onBytes(byte[] data, Callback written) {
        writeHeaders();
        offset += data.length;
        if (ratedCopy.size() + data.length <= MAX_RATED_BYTES) {
            ratedCopy.write(data, 0, data.length);
        }
        String text = new String(data, StandardCharsets.UTF_8);
        response.write(
                false,
                sseEvent(replies.contentChunk(text)),
                Callback.from(
                        written::succeeded,
                        failure -> {
                            callerDisconnected = true;
                            written.failed(failure);
                        }));
    }

    @Override
    public long offset() {
        return offset;
    }

    @Override
    public boolean callerDisconnected() {
        return callerDisconnected;
    }

    String text() {
        return ratedCopy.toString(StandardCharsets.UTF_8);
    }

    /** Ends a complete answer. */
    void finish() {
        writeHeaders();
        response.write(
                true,
                ByteBuffer.wrap(
                        ("data: " + replies.finalChunk() + "\n\n" + SSE_DONE_EVENT)
                                .getBytes(StandardCharsets.UTF_8)),
                callback);
    }

    /** Ends an incomplete answer: with an error, and without the {@code [DONE]} event. */
    void fail(ApiError error) {
        if (!headersSent) {
            Replies.sendError(response, callback, error);
            return;
        }
        response.write(true, sseEvent(Replies.toJson(error).toString()), callback);
    }

    private void writeHeaders() {
        if (headersSent) {
            return;
        }
        headersSent = true;
        response.setStatus(OK);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
    }

    private static ByteBuffer sseEvent(String data) {
        return ByteBuffer.wrap(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    }
}
