package org.wigeonferry.messages;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.RequestId;
import org.wigeonferry.core_types.Revision;
import org.wigeonferry.core_types.ServiceId;
import org.wigeonferry.core_types.StartOrder;
import org.wigeonferry.core_types.VersionId;
import org.wigeonferry.messages.gen.OrderMessage;

/**
 * Converts start orders to Thrift messages and back.
 *
 * <p>Stateless and thread safe.
 */
public final class StartOrderMessages {
    private StartOrderMessages() {}

    /**
     * Returns the message of an order.
     *
     * @param entryAddress the address at which the sending entry serves its peers
     * @param resumeOffset offset in bytes from which the answer is to be sent, 0 for the whole
     *     answer
     * @param body the body of the client's request
     */
    public static OrderMessage toMessage(
            StartOrder order, HostAddress entryAddress, long resumeOffset, byte[] body) {
        OrderMessage message = new OrderMessage();
        message.setEntry(order.entry().value());
        message.setRequestId(order.requestId().value());
        message.setAttempt(order.attemptNumber());
        message.setAccount(order.account().value());
        order.version().ifPresent(version -> message.setVersion(version.value()));
        order.service().ifPresent(service -> message.setPlainService(service.value()));
        message.setOperation(order.operation());
        message.setRevision(order.revision().number());
        message.setRemainingMillis(order.timeLeft().toMillis());
        message.setDigest(order.requestDigest());
        order.idempotencyKey().ifPresent(message::setIdempotencyKey);
        message.setSuspect(order.suspected());
        message.setSuspectPosition(order.answerBytesAtCrash());
        message.setEntryAddress(entryAddress.toString());
        message.setResumeOffset(resumeOffset);
        message.setBody(ByteBuffer.wrap(body));
        return message;
    }

    /**
     * Returns the order in a message.
     *
     * @throws CodecException if a field is invalid
     */
    public static StartOrder toOrder(OrderMessage message) throws CodecException {
        try {
            return StartOrder.builder()
                    .entry(new NodeId(message.getEntry()))
                    .requestId(new RequestId(message.getRequestId()))
                    .attemptNumber(message.getAttempt())
                    .account(new AccountId(message.getAccount()))
                    .version(Optional.ofNullable(message.getVersion()).map(VersionId::new))
                    .service(Optional.ofNullable(message.getPlainService()).map(ServiceId::new))
                    .operation(Optional.ofNullable(message.getOperation()).orElse(""))
                    .revision(new Revision(message.getRevision()))
                    .timeLeft(Duration.ofMillis(message.getRemainingMillis()))
                    .requestDigest(message.getDigest())
                    .idempotencyKey(Optional.ofNullable(message.getIdempotencyKey()))
                    .suspected(message.isSuspect())
                    .answerBytesAtCrash(message.getSuspectPosition())
                    .build();
        } catch (IllegalArgumentException e) {
            throw new CodecException("read start order", e);
        }
    }
}
