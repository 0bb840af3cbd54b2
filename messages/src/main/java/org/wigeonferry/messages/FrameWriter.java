package org.wigeonferry.messages;

import java.nio.ByteBuffer;
import org.wigeonferry.messages.gen.FrameMessage;

/**
 * Puts a frame behind its length.
 *
 * <p>Stateless and thread safe.
 */
public final class FrameWriter {
    private FrameWriter() {}

    /** Encodes the frame; the buffer holds a length of four bytes and then the message. */
    public static ByteBuffer write(FrameMessage frame) throws CodecException {
        byte[] bytes = Codec.encode(frame);
        ByteBuffer buffer = ByteBuffer.allocate(Integer.BYTES + bytes.length);
        buffer.putInt(bytes.length).put(bytes).flip();
        return buffer;
    }
}
