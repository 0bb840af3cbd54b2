package org.wigeonferry.messages;

import java.nio.ByteBuffer;
import org.wigeonferry.messages.gen.FrameMessage;

/**
 * Puts a frame behind its length.
 *
 * <p>Stateless and thread safe.
 */
public final class FrameEncoder {
    private FrameEncoder() {}

    /** Encodes the frame; the buffer holds a length of four bytes and then the message. */
    public static ByteBuffer encode(FrameMessage frame) throws CodecException {
        byte[] bytes = MessageCodec.encode(frame);
        ByteBuffer buffer = ByteBuffer.allocate(Integer.BYTES + bytes.length);
        buffer.putInt(bytes.length).put(bytes).flip();
        return buffer;
    }
}
