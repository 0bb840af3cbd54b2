package org.wigeonferry.entry;

import java.io.ByteArrayOutputStream;
import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;
import org.wigeonferry.core_types.Refusal;
import org.wigeonferry.core_types.RefusalReason;
import org.wigeonferry.core_types.Revision;
import org.wigeonferry.core_types.StartOrder;
import org.wigeonferry.core_types.UpstreamId;
import org.wigeonferry.messages.CodecException;
import org.wigeonferry.messages.FrameReader;
import org.wigeonferry.messages.Frames;
import org.wigeonferry.messages.gen.ChunkMessage;
import org.wigeonferry.messages.gen.EndMessage;
import org.wigeonferry.messages.gen.FailureMessage;
import org.wigeonferry.messages.gen.FrameMessage;
import org.wigeonferry.messages.gen.RefusalMessage;

/**
 * Reads the answer to one order.
 *
 * <p>Every frame must name the order, chunks must follow one another without a gap, and the end
 * mark must give their sum; otherwise the outcome is unknown. Callbacks of one request never run at
 * the same time, so no lock is needed.
 */
final class AttemptReader {
    private static final int OK = 200;

    /** Statuses below this one come before anything was run. */
    private static final int FIRST_SERVER_ERROR = 500;

    private final StartOrder order;
    private final UpstreamId upstream;
    private final ByteListener listener;
    private final Consumer<Throwable> abort;
    private final FrameReader frames = new FrameReader();
    private final CompletableFuture<AttemptResult> result = new CompletableFuture<>();
    private long offset;
    private boolean responded;
    private boolean broken;
    private Optional<AttemptResult> last = Optional.empty();

    AttemptReader(
            StartOrder order,
            UpstreamId upstream,
            long resumeOffset,
            ByteListener listener,
            Consumer<Throwable> abort) {
        this.order = order;
        this.upstream = upstream;
        this.offset = resumeOffset;
        this.listener = listener;
        this.abort = abort;
    }

    CompletableFuture<AttemptResult> result() {
        return result;
    }

    void onBegin(Response response) {
        responded = true;
    }

    void onContent(Response response, Content.Chunk chunk, Runnable demand) {
        if (response.getStatus() != OK) {
            demand.run();
            return;
        }
        onBytes(chunk.getByteBuffer(), demand);
    }

    /** Takes the next bytes of an answer. */
    void onBytes(ByteBuffer bytes, Runnable demand) {
        ByteArrayOutputStream data = new ByteArrayOutputStream();
        try {
            for (FrameMessage frame : frames.read(bytes)) {
                take(frame, data);
            }
        } catch (CodecException e) {
            broken = true;
            abort.accept(e);
            return;
        }
        if (data.size() == 0) {
            demand.run();
            return;
        }
        listener.onBytes(data.toByteArray(), Callback.from(demand, abort));
    }

    void onComplete(Result end) {
        boolean failed = end.getFailure() != null;
        if (last.isEmpty() && !responded && end.getFailure() instanceof ConnectException) {
            result.complete(notConnected("agent took no order"));
            return;
        }
        if (last.isEmpty() && !failed && rejected(end.getResponse().getStatus())) {
            result.complete(notConnected("agent rejected the order"));
            return;
        }
        result.complete(outcome(!failed));
    }

    /** How the attempt ended, judged by the frames that came. */
    AttemptResult outcome(boolean wholeResponse) {
        if (last.isPresent() && !broken) {
            return last.get();
        }
        String cause = wholeResponse ? "no end mark" : "connection lost";
        return new AttemptFailed("receive answer at " + upstream + ": " + cause, false, false, 0);
    }

    /** A request that the agent's server refused as malformed was never run. */
    private static boolean rejected(int status) {
        return status != OK && status < FIRST_SERVER_ERROR;
    }

    private void take(FrameMessage frame, ByteArrayOutputStream data) throws CodecException {
        if (!Frames.belongsTo(frame, order)) {
            throw new CodecException("receive answer", "frame of request " + frame.getRequestId());
        }
        if (frame.isSetChunk()) {
            takeChunk(frame.getChunk(), data);
        }
        if (frame.isSetFinish()) {
            takeEnd(frame.getFinish());
        }
        if (frame.isSetRefusal()) {
            last = Optional.of(refused(frame.getRefusal()));
        }
        if (frame.isSetFailure()) {
            FailureMessage failure = frame.getFailure();
            last =
                    Optional.of(
                            new AttemptFailed(
                                    failure.getStep()
                                            + " at "
                                            + upstream
                                            + ": "
                                            + failure.getDetail(),
                                    failure.isCrashed(),
                                    failure.isCondemned(),
                                    failure.getPosition()));
        }
    }

    private void takeChunk(ChunkMessage chunk, ByteArrayOutputStream data) throws CodecException {
        if (chunk.getOffset() != offset) {
            throw new CodecException(
                    "receive answer", "chunk at " + chunk.getOffset() + ", expected " + offset);
        }
        byte[] bytes = chunk.getData();
        data.write(bytes, 0, bytes.length);
        offset += bytes.length;
    }

    private void takeEnd(EndMessage end) throws CodecException {
        if (end.getLength() != offset) {
            throw new CodecException(
                    "receive answer", "length " + end.getLength() + ", received " + offset);
        }
        last = Optional.of(new AttemptFinished(end));
    }

    private static AttemptResult refused(RefusalMessage message) throws CodecException {
        try {
            return new AttemptRefused(
                    new Refusal(
                            RefusalReason.valueOf(message.getReason()),
                            message.getDetail(),
                            Duration.ofMillis(message.getRetryAfterMillis())),
                    new Revision(message.getRevision()));
        } catch (IllegalArgumentException e) {
            throw new CodecException("read refusal", e);
        }
    }

    private static AttemptResult notConnected(String detail) {
        return new AttemptRefused(Refusal.of(RefusalReason.NOT_CONNECTED, detail), Revision.NONE);
    }
}
