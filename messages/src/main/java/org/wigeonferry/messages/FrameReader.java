package org.wigeonferry.messages;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.wigeonferry.messages.gen.FrameMessage;

/**
 * Cuts a stream of bytes into frames.
 *
 * <p>Invariant: holds at most one frame that is not whole yet. Not thread safe; one reader belongs
 * to one stream.
 */
public final class FrameReader {
    /** Longest frame in bytes. */
    public static final int MAX_FRAME_BYTES = 4 << 20;

    private ByteBuffer rest = ByteBuffer.allocate(0);

    /** Takes the next bytes and returns the frames that are now whole. */
    public List<FrameMessage> readFrames(ByteBuffer bytes) throws CodecException {
        ByteBuffer all = ByteBuffer.allocate(rest.remaining() + bytes.remaining());
        all.put(rest).put(bytes).flip();
        List<FrameMessage> frames = new ArrayList<>();
        while (all.remaining() >= Integer.BYTES) {
            int length = all.getInt(all.position());
            if (length < 0 || length > MAX_FRAME_BYTES) {
                throw new CodecException("read frame", "frame length " + length);
            }
            if (all.remaining() < Integer.BYTES + length) {
                break;
            }
            all.getInt();
            byte[] frame = new byte[length];
            all.get(frame);
            frames.add(MessageCodec.decode(frame, new FrameMessage()));
        }
        rest = all;
        return frames;
    }

    /** Tells whether the stream may end here without cutting a frame. */
    public boolean hasNoPartialFrame() {
        return !rest.hasRemaining();
    }
}
