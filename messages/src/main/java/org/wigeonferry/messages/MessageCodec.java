package org.wigeonferry.messages;

import org.apache.thrift.TBase;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

/**
 * Turns messages into bytes and back, in Thrift's compact protocol.
 *
 * <p>Stateless and thread safe.
 */
public final class MessageCodec {
    private static final int MAX_CONTAINER_LENGTH = 65_536;
    private static final int MAX_STRING_BYTES = 4 << 20;

    private MessageCodec() {}

    /** Encodes a message. */
    public static byte[] encode(TBase<?, ?> message) throws CodecException {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(message);
        } catch (TException e) {
            throw new CodecException("encode message", e);
        }
    }

    /** Decodes bytes into an empty message and returns it. */
    public static <T extends TBase<?, ?>> T decode(byte[] bytes, T empty) throws CodecException {
        try {
            TCompactProtocol.Factory protocol =
                    new TCompactProtocol.Factory(MAX_STRING_BYTES, MAX_CONTAINER_LENGTH);
            new TDeserializer(protocol).deserialize(empty, bytes);
            return empty;
        } catch (TException | RuntimeException e) {
            throw new CodecException("decode " + empty.getClass().getSimpleName(), e);
        }
    }
}
