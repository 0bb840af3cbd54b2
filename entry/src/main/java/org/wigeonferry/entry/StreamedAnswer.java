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
 * An answer that goes to the caller as it comes, as server-sent events.
 *
 * <p>More bytes are asked for only after the caller took the ones before. A copy is kept up to a
 * bound, to be rated. Used by one attempt at a time.
 */
final class StreamedAnswer implements AnswerSink {
    private static final int OK = 200;
    private static final int MAX_COPY_BYTES = 64 << 10;
    private static final String END_MARK = "data: [DONE]\n\n";

    private final Response response;
    private final Callback callback;
    private final ChatReplies replies;
    private final ByteArrayOutputStream copy = new ByteArrayOutputStream();
    private long offset;
    private volatile boolean begun;
    private volatile boolean callerGone;

    StreamedAnswer(Response response, Callback callback, ChatReplies replies) {
        this.response = response;
        this.callback = callback;
        this.replies = replies;
    }

    @Override
    public void onBytes(byte[] data, Callback taken) {
        begin();
        offset += data.length;
        if (copy.size() + data.length <= MAX_COPY_BYTES) {
            copy.write(data, 0, data.length);
        }
        String text = new String(data, StandardCharsets.UTF_8);
        response.write(
                false,
                event(replies.contentChunk(text)),
                Callback.from(
                        taken::succeeded,
                        failure -> {
                            callerGone = true;
                            taken.failed(failure);
                        }));
    }

    @Override
    public long offset() {
        return offset;
    }

    @Override
    public boolean callerDisconnected() {
        return callerGone;
    }

    String text() {
        return copy.toString(StandardCharsets.UTF_8);
    }

    /** Ends the answer as whole. */
    void finish() {
        begin();
        response.write(
                true,
                ByteBuffer.wrap(
                        ("data: " + replies.finalChunk() + "\n\n" + END_MARK)
                                .getBytes(StandardCharsets.UTF_8)),
                callback);
    }

    /** Ends the answer as not whole: with an error, and without the end mark. */
    void fail(ApiError error) {
        if (!begun) {
            Replies.sendError(response, callback, error);
            return;
        }
        response.write(true, event(Replies.toJson(error).toString()), callback);
    }

    private void begin() {
        if (begun) {
            return;
        }
        begun = true;
        response.setStatus(OK);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
    }

    private static ByteBuffer event(String data) {
        return ByteBuffer.wrap(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
    }
}
