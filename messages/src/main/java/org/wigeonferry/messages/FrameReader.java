package org.wigeonferry.messages;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.wigeonferry.messages.gen.FrameMessage;

/**
 * Splits a byte stream into frames, each preceded by its length in four bytes.
 *
 * <p>Invariant: buffers at most one incomplete frame between calls. Not thread safe; one reader
 * belongs to one stream.
 */
public final class FrameReader {
    /** Maximum length of an encoded frame in bytes, without its length prefix. */
    public static final int MAX_FRAME_BYTES = 4 << 20;

    private ByteBuffer partialFrame = ByteBuffer.allocate(0);

    /** Adds the next bytes of the stream and returns the frames that are now complete. */
    public List<FrameMessage> readFrames(ByteBuffer bytes) throws CodecException {
        ByteBuffer all = ByteBuffer.allocate(partialFrame.remaining() + bytes.remaining());
        all.put(partialFrame).put(bytes).flip();
        List<FrameMessage> frames = new ArrayList<>();
        while (all.remaining() >= Integer.BYTES) {
            int length = all.getInt(all.position());
            if (length < 0 || length > MAX_FRAME_BYTES) {
                throw new CodecException(
                        "read frame",
                        "frame length out of range (0 to 4 MiB), in bytes: " + length);
            }
            if (all.remaining() < Integer.BYTES + length) {
                break;
            }
            all.getInt();
            byte[] frame = new byte[length];
            all.get(frame);
            frames.add(MessageCodec.decode(frame, new FrameMessage()));
        }
        partialFrame = all;
        return frames;
    }

    /** Returns whether no incomplete frame is buffered, so that the stream may end here. */
    public boolean hasNoPartialFrame() {
        return !partialFrame.hasRemaining();
    }
}
