package org.wigeonferry.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.Refusal;
import org.wigeonferry.core_types.RefusalReason;
import org.wigeonferry.core_types.RequestId;
import org.wigeonferry.core_types.Revision;
import org.wigeonferry.core_types.StartOrder;
import org.wigeonferry.core_types.UpstreamId;
import org.wigeonferry.messages.AnswerFrames;
import org.wigeonferry.messages.CodecException;
import org.wigeonferry.messages.FrameEncoder;
import org.wigeonferry.messages.gen.EndMessage;
import org.wigeonferry.messages.gen.FrameMessage;

/**
 * Guards against delivering an answer that is incomplete, has a gap, or belongs to another request
 * or attempt.
 */
class AttemptReaderTest {
    private final StartOrder order = order("r1");
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private final List<Throwable> aborts = new ArrayList<>();
    private final AttemptReader reader =
            new AttemptReader(order, new UpstreamId("engine-1"), 0, this::receive, aborts::add);

    @Test
    void completeAnswerGivesFinished() throws CodecException {
        receiveFrames(chunk(order, 0, "he"), chunk(order, 2, "llo"), end(order, 5));
        assertThat(reader.outcome(true)).isInstanceOf(AttemptFinished.class);
        assertThat(received.toString(StandardCharsets.UTF_8)).isEqualTo("hello");
    }

    @Test
    void frameOfAnotherRequestAbortsTheAttempt() throws CodecException {
        receiveFrames(chunk(order("r2"), 0, "crossed"));
        assertThat(aborts).hasSize(1);
        assertThat(received.size()).isZero();
        assertThat(reader.outcome(true)).isInstanceOf(AttemptFailed.class);
    }

    @Test
    void frameOfAnotherAttemptAbortsTheAttempt() throws CodecException {
        receiveFrames(chunk(order.toBuilder().attemptNumber(7).build(), 0, "late"));
        assertThat(aborts).hasSize(1);
    }

    @Test
    void gapBetweenChunksAbortsTheAttempt() throws CodecException {
        receiveFrames(chunk(order, 0, "he"), chunk(order, 3, "lo"), end(order, 5));
        assertThat(aborts).hasSize(1);
        assertThat(reader.outcome(true)).isInstanceOf(AttemptFailed.class);
    }

    @Test
    void answerWithoutEndFrameGivesFailed() throws CodecException {
        receiveFrames(chunk(order, 0, "he"));
        assertThat(reader.outcome(true)).isInstanceOf(AttemptFailed.class);
    }

    @Test
    void endFrameWithAnotherLengthGivesFailed() throws CodecException {
        receiveFrames(chunk(order, 0, "he"), end(order, 5));
        assertThat(reader.outcome(true)).isInstanceOf(AttemptFailed.class);
    }

    @Test
    void refusalFrameGivesRefused() throws CodecException {
        Refusal refusal = Refusal.of(RefusalReason.ZONE_OUT, "out");
        receiveFrames(AnswerFrames.refusalFrame(order, refusal, new Revision(3), 0, 1));
        assertThat(reader.outcome(true)).isEqualTo(new AttemptRefused(refusal, new Revision(3)));
    }

    @Test
    void connectionLossBeforeAnyFrameGivesFailed() {
        assertThat(reader.outcome(false)).isInstanceOf(AttemptFailed.class);
    }

    private void receive(byte[] data, Callback callback) {
        received.writeBytes(data);
        callback.succeeded();
    }

    private void receiveFrames(FrameMessage... frames) throws CodecException {
        ByteBuffer all = ByteBuffer.allocate(4096);
        for (FrameMessage frame : frames) {
            all.put(FrameEncoder.encode(frame));
        }
        reader.onBytes(all.flip(), () -> {});
    }

    private static FrameMessage chunk(StartOrder order, long offset, String text) {
        return AnswerFrames.chunkFrame(order, offset, text.getBytes(StandardCharsets.UTF_8));
    }

    private static FrameMessage end(StartOrder order, long length) {
        return AnswerFrames.endFrame(order, new EndMessage(length, "small-1", 1, 0, 1, 200, false));
    }

    private static StartOrder order(String id) {
        return StartOrder.builder()
                .entry(new NodeId("entry-1"))
                .requestId(new RequestId(id))
                .account(new AccountId("palace"))
                .build();
    }
}
