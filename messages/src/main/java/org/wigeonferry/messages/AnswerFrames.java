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
 * Makes the frames of an answer.
 *
 * <p>Stateless and thread safe.
 */
public final class AnswerFrames {
    private AnswerFrames() {}

    /** A part of the answer at an offset in bytes. */
    public static FrameMessage chunkFrame(StartOrder order, long offset, byte[] data) {
        return frame(order).setChunk(new ChunkMessage(offset, ByteBuffer.wrap(data)));
    }

    /** The end mark of a whole answer. */
    public static FrameMessage endFrame(StartOrder order, EndMessage end) {
        return frame(order).setFinish(end);
    }

    /** A refusal: the attempt was not run and will not be. */
    public static FrameMessage refusalFrame(
            StartOrder order, Refusal refusal, Revision revision, int inFlight, int limit) {
        return frame(order)
                .setRefusal(
                        new RefusalMessage(
                                refusal.reason().name(),
                                refusal.detail(),
                                refusal.retryAfter().toMillis(),
                                revision.number(),
                                inFlight,
                                limit));
    }

    /** A failure: the attempt may have run, in whole or in part. */
    public static FrameMessage failureFrame(StartOrder order, FailureMessage failure) {
        return frame(order).setFailure(failure);
    }

    /** Tells whether a frame belongs to the attempt. */
    public static boolean belongsTo(FrameMessage frame, StartOrder order) {
        return frame.getRequestId().equals(order.requestId().value())
                && frame.getAttempt() == order.attemptNumber();
    }

    private static FrameMessage frame(StartOrder order) {
        return new FrameMessage(order.requestId().value(), order.attemptNumber());
    }
}
