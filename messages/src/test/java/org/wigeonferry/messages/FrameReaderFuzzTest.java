package org.wigeonferry.messages;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.wigeonferry.messages.gen.ChunkMessage;
import org.wigeonferry.messages.gen.FrameMessage;
import org.wigeonferry.messages.gen.OrderMessage;

class FrameReaderFuzzTest {
    @Property(tries = 2000, seed = "20261204")
    void anyBytesAreDecodedOrGiveACodecException(@ForAll @Size(max = 200) byte[] bytes) {
        try {
            new FrameReader().readFrames(ByteBuffer.wrap(bytes));
        } catch (CodecException e) {
            assertThat(e.step()).isNotEmpty();
        }
        try {
            StartOrderMessages.toOrder(MessageCodec.decode(bytes, new OrderMessage()));
        } catch (CodecException e) {
            assertThat(e.step()).isNotEmpty();
        }
    }

    @Property(tries = 500, seed = "20261204")
    void framesAreReadHoweverTheStreamIsChunked(@ForAll long seed) throws CodecException {
        Random random = new Random(seed);
        ByteBuffer all = ByteBuffer.allocate(1 << 16);
        List<FrameMessage> sent = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            byte[] data = new byte[random.nextInt(500)];
            random.nextBytes(data);
            FrameMessage frame = new FrameMessage("r" + i, i);
            frame.setChunk(new ChunkMessage(i, ByteBuffer.wrap(data)));
            sent.add(frame);
            all.put(FrameEncoder.encode(frame));
        }
        all.flip();
        FrameReader reader = new FrameReader();
        List<FrameMessage> received = new ArrayList<>();
        while (all.hasRemaining()) {
            int length = Math.min(all.remaining(), 1 + random.nextInt(700));
            received.addAll(reader.readFrames(all.slice(all.position(), length)));
            all.position(all.position() + length);
        }
        assertThat(received).isEqualTo(sent);
        assertThat(reader.hasNoPartialFrame()).isTrue();
    }
}
