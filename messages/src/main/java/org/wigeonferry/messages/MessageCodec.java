package org.wigeonferry.messages;

import org.apache.thrift.TBase;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;

/**
 * Encodes and decodes messages in Thrift's compact protocol.
 *
 * <p>Stateless and thread safe.
 */
public final class MessageCodec {
    private static final int MAX_CONTAINER_ELEMENTS = 65_536;
    private static final int MAX_STRING_BYTES = 4 << 20;

    private MessageCodec() {}

    /** Returns the encoded message. */
    public static byte[] encode(TBase<?, ?> message) throws CodecException {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(message);
        } catch (TException e) {
            throw new CodecException("encode message", e);
        }
    }

    /**
     * Decodes bytes into {@code target} and returns it.
     *
     * @param target a new message without fields
     */
    public static <T extends TBase<?, ?>> T decode(byte[] bytes, T target) throws CodecException {
        try {
            TCompactProtocol.Factory protocol =
                    new TCompactProtocol.Factory(MAX_STRING_BYTES, MAX_CONTAINER_ELEMENTS);
            new TDeserializer(protocol).deserialize(target, bytes);
            return target;
        } catch (TException | RuntimeException e) {
            throw new CodecException("decode " + target.getClass().getSimpleName(), e);
        }
    }
}
