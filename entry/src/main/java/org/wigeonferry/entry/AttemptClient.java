package org.wigeonferry.entry;

import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.Request;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.StartOrder;
import org.wigeonferry.core_types.Upstream;
import org.wigeonferry.messages.CodecException;
import org.wigeonferry.messages.MessageCodec;
import org.wigeonferry.messages.StartOrderMessages;
import org.wigeonferry.node_runtime.HttpPeerTransport;

/**
 * Sends start orders, each for one attempt, to agents and receives the answers.
 *
 * <p>Immutable and thread safe.
 */
final class AttemptClient {
    private static final String START_ORDER_PATH = "/order";

    private final HttpPeerTransport peerCalls;
    private final HostAddress replyAddress;

    AttemptClient(HttpPeerTransport peerCalls, HostAddress replyAddress) {
        this.peerCalls = peerCalls;
        this.replyAddress = replyAddress;
    }

    /**
     * Sends a start order. The listener receives the bytes of the answer, and the returned future
     * completes with the outcome of the attempt.
     */
    CompletableFuture<AttemptResult> send(
            StartOrder order,
            Upstream upstream,
            long resumeOffset,
            byte[] body,
            ByteListener listener) {
        byte[] message;
        try {
            message =
                    MessageCodec.encode(
                            StartOrderMessages.toMessage(order, replyAddress, resumeOffset, body));
        } catch (CodecException e) {
            return CompletableFuture.failedFuture(e);
        }
        Request request =
                peerCalls.newRequest(
                        upstream.agentAddress(), START_ORDER_PATH, message, order.timeLeft());
        AttemptReader reader =
                new AttemptReader(order, upstream.id(), resumeOffset, listener, request::abort);
        request.onResponseBegin(reader::onBegin)
                .onResponseContentAsync(reader::onContent)
                .send(reader::onComplete);
        return reader.result();
    }
}
