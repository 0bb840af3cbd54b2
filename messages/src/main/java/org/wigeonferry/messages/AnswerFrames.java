package org.wigeonferry.messages;

import java.nio.ByteBuffer;
import org.wigeonferry.core_types.Refusal;
import org.wigeonferry.core_types.Revision;
import org.wigeonferry.core_types.StartOrder;
import org.wigeonferry.messages.gen.ChunkMessage;
import org.wigeonferry.messages.gen.EndMessage;
import org.wigeonferry.messages.gen.FailureMessage;
import org.wigeonferry.messages.gen.FrameMessage;
import org.wigeonferry.messages.gen.RefusalMessage;

/**
 * Creates the frames that an agent sends to an entry in answer to a start order.
 *
 * <p>Stateless and thread safe.
 */
public final class AnswerFrames {
    private AnswerFrames() {}

    /** Returns a frame with the part of the answer that starts at {@code offset} bytes. */
    public static FrameMessage chunkFrame(StartOrder order, long offset, byte[] data) {
        return newFrame(order).setChunk(new ChunkMessage(offset, ByteBuffer.wrap(data)));
    }

    /** Returns the frame that marks the end of a complete answer. */
    public static FrameMessage endFrame(StartOrder order, EndMessage end) {
        return newFrame(order).setFinish(end);
    }

    /**
     * Returns a frame that refuses the attempt: it was not run and will not be run later.
     *
     * @param revision the revision of the configuration that the frame reports to the entry
     * @param inFlight attempts that the upstream runs now
     * @param limit maximum concurrent attempts of the upstream
     */
    public static FrameMessage refusalFrame(
            StartOrder order, Refusal refusal, Revision revision, int inFlight, int limit) {
        return newFrame(order)
                .setRefusal(
                        new RefusalMessage(
                                refusal.reason().name(),
                                refusal.detail(),
                                refusal.retryAfter().toMillis(),
                                revision.number(),
                                inFlight,
                                limit));
    }

    /** Returns a frame that reports a failure: the attempt may have run partly or completely. */
    public static FrameMessage failureFrame(StartOrder order, FailureMessage failure) {
        return newFrame(order).setFailure(failure);
    }

    /** Returns whether a frame answers this order: request id and attempt number are equal. */
    public static boolean belongsTo(FrameMessage frame, StartOrder order) {
        return frame.getRequestId().equals(order.requestId().value())
                && frame.getAttempt() == order.attemptNumber();
    }

    private static FrameMessage newFrame(StartOrder order) {
        return new FrameMessage(order.requestId().value(), order.attemptNumber());
    }
}
