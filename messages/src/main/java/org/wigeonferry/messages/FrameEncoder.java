package org.wigeonferry.messages;

import java.nio.ByteBuffer;
import org.wigeonferry.messages.gen.FrameMessage;

/**
 * Encodes frames for {@link FrameReader}.
 *
 * <p>Stateless and thread safe.
 */
public final class FrameEncoder {
    private FrameEncoder() {}

    /** Returns the length of the encoded frame in four bytes, followed by the encoded frame. */
    public static ByteBuffer encode(FrameMessage frame) throws CodecException {
        byte[] bytes = MessageCodec.encode(frame);
        ByteBuffer buffer = ByteBuffer.allocate(Integer.BYTES + bytes.length);
        buffer.putInt(bytes.length).put(bytes).flip();
        return buffer;
    }
}
