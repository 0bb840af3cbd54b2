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
import org.wigeonferry.messages.AnswerFrames;
import org.wigeonferry.messages.CodecException;
import org.wigeonferry.messages.FrameReader;
import org.wigeonferry.messages.gen.ChunkMessage;
import org.wigeonferry.messages.gen.EndMessage;
import org.wigeonferry.messages.gen.FailureMessage;
import org.wigeonferry.messages.gen.FrameMessage;
import org.wigeonferry.messages.gen.RefusalMessage;

/**
 * Reads an agent's answer to one start order.
 *
 * <p>Every frame must belong to the order, the offsets of the chunks must leave no gap, and the end
 * frame must state the total length; otherwise the attempt has failed and may have run. Callbacks
 * of one request never run at the same time, so no lock is needed.
 */
final class AttemptReader {
    private static final int OK = 200;

    /** An HTTP status below this one, other than 200, means that the agent ran nothing. */
    private static final int MIN_SERVER_ERROR = 500;

    private final StartOrder order;
    private final UpstreamId upstream;
    private final ByteListener listener;
    private final Consumer<Throwable> abortRequest;
    private final FrameReader frames = new FrameReader();
    private final CompletableFuture<AttemptResult> result = new CompletableFuture<>();
    private long offset;
    private boolean responseStarted;
    private boolean protocolViolated;
    private Optional<AttemptResult> finalResult = Optional.empty();

    AttemptReader(
            StartOrder order,
            UpstreamId upstream,
            long resumeOffset,
            ByteListener listener,
            Consumer<Throwable> abortRequest) {
        this.order = order;
        this.upstream = upstream;
        this.offset = resumeOffset;
        this.listener = listener;
        this.abortRequest = abortRequest;
    }

    CompletableFuture<AttemptResult> result() {
        return result;
    }

    void onBegin(Response response) {
        responseStarted = true;
    }

    void onContent(Response response, Content.Chunk chunk, Runnable requestMore) {
        if (response.getStatus() != OK) {
            requestMore.run();
            return;
        }
        onBytes(chunk.getByteBuffer(), requestMore);
    }

    /** Decodes the frames in the bytes and passes the data of chunks to the listener. */
    void onBytes(ByteBuffer bytes, Runnable requestMore) {
        ByteArrayOutputStream data = new ByteArrayOutputStream();
        try {
            for (FrameMessage frame : frames.readFrames(bytes)) {
                handleFrame(frame, data);
            }
        } catch (CodecException e) {
            protocolViolated = true;
            abortRequest.accept(e);
            return;
        }
        if (data.size() == 0) {
            requestMore.run();
            return;
        }
        listener.onBytes(data.toByteArray(), Callback.from(requestMore, abortRequest));
    }

    void onComplete(Result end) {
        boolean failed = end.getFailure() != null;
        if (finalResult.isEmpty()
                && !responseStarted
                && end.getFailure() instanceof ConnectException) {
            result.complete(notConnectedResult("could not connect to the agent"));
            return;
        }
        if (finalResult.isEmpty() && !failed && isRejection(end.getResponse().getStatus())) {
            result.complete(notConnectedResult("agent rejected the start order"));
            return;
        }
        result.complete(outcome(!failed));
    }

    /**
     * Returns the outcome of the attempt; failed if no final frame was received or a frame violated
     * the protocol.
     */
    AttemptResult outcome(boolean responseComplete) {
        if (finalResult.isPresent() && !protocolViolated) {
            return finalResult.get();
        }
        String cause = responseComplete ? "response ended without an end frame" : "connection lost";
        return new AttemptFailed("receive answer from " + upstream + ": " + cause, false, false, 0);
    }

    /** A request that the agent's server refused as malformed was never run. */
    private static boolean isRejection(int status) {
        return status != OK && status < MIN_SERVER_ERROR;
    }

    private void handleFrame(FrameMessage frame, ByteArrayOutputStream data) throws CodecException {
        if (!AnswerFrames.belongsTo(frame, order)) {
            throw new CodecException(
                    "receive answer",
                    "frame belongs to another order, of request " + frame.getRequestId());
        }
        if (frame.isSetChunk()) {
            handleChunk(frame.getChunk(), data);
        }
        if (frame.isSetFinish()) {
            handleEnd(frame.getFinish());
        }
        if (frame.isSetRefusal()) {
            finalResult = Optional.of(toRefused(frame.getRefusal()));
        }
        if (frame.isSetFailure()) {
            FailureMessage failure = frame.getFailure();
            finalResult =
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

    private void handleChunk(ChunkMessage chunk, ByteArrayOutputStream data) throws CodecException {
        if (chunk.getOffset() != offset) {
            throw new CodecException(
                    "receive answer",
                    "chunk at offset " + chunk.getOffset() + ", expected offset " + offset);
        }
        byte[] bytes = chunk.getData();
        data.write(bytes, 0, bytes.length);
        offset += bytes.length;
    }

    private void handleEnd(EndMessage end) throws CodecException {
        if (end.getLength() != offset) {
            throw new CodecException(
                    "receive answer", "length " + end.getLength() + ", received " + offset);
        }
        finalResult = Optional.of(new AttemptFinished(end));
    }

    private static AttemptResult toRefused(RefusalMessage message) throws CodecException {
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

    private static AttemptResult notConnectedResult(String detail) {
        return new AttemptRefused(Refusal.of(RefusalReason.NOT_CONNECTED, detail), Revision.NONE);
    }
}
