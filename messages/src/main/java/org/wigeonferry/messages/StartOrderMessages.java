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
 * Turns orders into messages and back.
 *
 * <p>Stateless and thread safe.
 */
public final class StartOrderMessages {
    private StartOrderMessages() {}

    /** Makes the message of an order; {@code replyAddress} is where the entry serves its peers. */
    public static OrderMessage toMessage(
            StartOrder order, HostAddress replyAddress, long resumeOffset, byte[] body) {
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
        message.setEntryAddress(replyAddress.toString());
        message.setResumeOffset(resumeOffset);
        message.setBody(ByteBuffer.wrap(body));
        return message;
    }

    /** Reads the order of a message. */
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
            throw new CodecException("read order", e);
        }
    }
}
