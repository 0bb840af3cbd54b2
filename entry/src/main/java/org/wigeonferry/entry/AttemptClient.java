package org.wigeonferry.entry;

import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.Request;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.StartOrder;
import org.wigeonferry.core_types.Upstream;
import org.wigeonferry.messages.Codec;
import org.wigeonferry.messages.CodecException;
import org.wigeonferry.messages.Orders;
import org.wigeonferry.node_runtime.HttpPeerTransport;

/**
 * Sends orders to agents and receives their answers.
 *
 * <p>Immutable and thread safe.
 */
final class AttemptClient {
    private static final String PATH = "/order";

    private final HttpPeerTransport calls;
    private final HostAddress replyAddress;

    AttemptClient(HttpPeerTransport calls, HostAddress replyAddress) {
        this.calls = calls;
        this.replyAddress = replyAddress;
    }

    /** Sends an order; bytes go to the listener, the end to the result. */
    CompletableFuture<AttemptResult> send(
            StartOrder order,
            Upstream upstream,
            long resumeOffset,
            byte[] body,
            ByteListener listener) {
        byte[] message;
        try {
            message = Codec.encode(Orders.toMessage(order, replyAddress, resumeOffset, body));
        } catch (CodecException e) {
            return CompletableFuture.failedFuture(e);
        }
        Request request =
                calls.newRequest(upstream.agentAddress(), PATH, message, order.timeLeft());
        AttemptReader reader =
                new AttemptReader(order, upstream.id(), resumeOffset, listener, request::abort);
        request.onResponseBegin(reader::onBegin)
                .onResponseContentAsync(reader::onContent)
                .send(reader::onComplete);
        return reader.result();
    }
}
