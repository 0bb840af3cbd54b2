package org.wigeonferry.agent;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.Refusal;
import org.wigeonferry.core_types.RefusalReason;
import org.wigeonferry.core_types.StartOrder;
import org.wigeonferry.messages.AnswerFrames;
import org.wigeonferry.messages.CodecException;
import org.wigeonferry.messages.MessageCodec;
import org.wigeonferry.messages.StartOrderMessages;
import org.wigeonferry.messages.gen.FailureMessage;
import org.wigeonferry.messages.gen.OrderMessage;
import org.wigeonferry.node_runtime.ApiError;
import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.node_runtime.ControlState;
import org.wigeonferry.node_runtime.Exchanger;
import org.wigeonferry.node_runtime.NodeMetrics;
import org.wigeonferry.node_runtime.Replies;
import org.wigeonferry.node_runtime.RequestBodies;
import org.wigeonferry.node_runtime.ingress.NoRoomException;

/**
 * Receives orders from entries, and runs those that are admitted.
 *
 * <p>If an order is refused because this agent's configuration is older than the order's, or not
 * confirmed to be up to date, the agent first exchanges configuration with the sender and decides
 * again. Thread safe.
 */
final class OrderEndpoint {
    static final String PATH = "/order";

    private static final Logger LOG = LoggerFactory.getLogger(OrderEndpoint.class);
    private static final int MAX_ORDER_BYTES = 4 << 20;
    private static final int BAD_REQUEST_STATUS = 400;
    private static final int UNAVAILABLE_STATUS = 503;

    private final ControlExecutor control;
    private final ControlState state;
    private final Admission admission;
    private final Exchanger exchanger;
    private final OrderRunner runner;
    private final NodeMetrics metrics;

    OrderEndpoint(
            ControlExecutor control,
            ControlState state,
            Admission admission,
            Exchanger exchanger,
            OrderRunner runner,
            NodeMetrics metrics) {
        this.control = control;
        this.state = state;
        this.admission = admission;
        this.exchanger = exchanger;
        this.runner = runner;
        this.metrics = metrics;
    }

    void serve(Request request, Response response, Callback callback) {
        RequestBodies.read(request, MAX_ORDER_BYTES)
                .whenComplete(
                        (body, failure) -> {
                            if (failure instanceof NoRoomException) {
                                replyUnavailable(response, callback, failure);
                                return;
                            }
                            if (failure != null) {
                                replyBadRequest(response, callback, failure);
                                return;
                            }
                            onBody(body, response, callback);
                        });
    }

    private void onBody(byte[] body, Response response, Callback callback) {
        try {
            OrderMessage message = MessageCodec.decode(body, new OrderMessage());
            StartOrder order = StartOrderMessages.toOrder(message);
            admitWithCatchUp(order, message)
                    .whenComplete(
                            (refusal, failure) -> {
                                if (failure != null) {
                                    replyUnavailable(response, callback, failure);
                                    return;
                                }
                                onDecision(
                                        order, message, refusal, new FrameSink(response, callback));
                            });
        } catch (CodecException e) {
            replyBadRequest(response, callback, e);
        }
    }

    private CompletableFuture<Optional<Refusal>> admitWithCatchUp(
            StartOrder order, OrderMessage message) {
        return control.submit(() -> admission.admit(order))
                .thenCompose(
                        refusal -> {
                            if (!needsCatchUp(refusal)) {
                                return CompletableFuture.completedFuture(refusal);
                            }
                            return catchUpWithSender(message)
                                    .thenCompose(
                                            done -> control.submit(() -> admission.admit(order)));
                        });
    }

    private CompletableFuture<Boolean> catchUpWithSender(OrderMessage message) {
        HostAddress sender = HostAddress.parse(message.getEntryAddress());
        return control.submit(() -> exchanger.exchange(sender)).thenCompose(reply -> reply);
    }

    private static boolean needsCatchUp(Optional<Refusal> refusal) {
        return refusal.filter(
                        r ->
                                r.reason() == RefusalReason.REVISION_BEHIND
                                        || r.reason() == RefusalReason.NODE_STALE)
                .isPresent();
    }

    private void onDecision(
            StartOrder order, OrderMessage message, Optional<Refusal> refusal, FrameSink sink) {
        if (refusal.isEmpty()) {
            metrics.count("orders_admitted", "account", order.account().value());
            runOrder(order, message, sink);
            return;
        }
        metrics.count("orders_refused", "reason", refusal.get().reason().name());
        control.submit(admission::currentLoad)
                .thenAccept(
                        load ->
                                sink.finish(
                                        AnswerFrames.refusalFrame(
                                                order,
                                                refusal.get(),
                                                state.catalog().revision(),
                                                load.attemptsInFlight(),
                                                load.concurrencyLimit())));
    }

    /** Runs the order; if it cannot be sent, no longer counts it as in flight. */
    private void runOrder(StartOrder order, OrderMessage message, FrameSink sink) {
        try {
            runner.run(order, message, sink);
        } catch (RuntimeException e) {
            LOG.warn("order could not be sent", e);
            control.execute(() -> admission.onAttemptCancelled(order));
            FailureMessage failure = new FailureMessage();
            failure.setStep("send to upstream");
            failure.setPeer("upstream");
            failure.setDetail(e.toString());
            sink.finish(
                    AnswerFrames.failureFrame(
                            order, failure.setCrashed(false).setCondemned(false).setPosition(0)));
        }
    }

    private static void replyBadRequest(Response response, Callback callback, Throwable failure) {
        LOG.warn("bad order: {}", failure.toString());
        Replies.sendError(
                response,
                callback,
                new ApiError(BAD_REQUEST_STATUS, "bad_message", true, failure.toString()));
    }

    private static void replyUnavailable(Response response, Callback callback, Throwable failure) {
        Replies.sendError(
                response,
                callback,
                new ApiError(UNAVAILABLE_STATUS, "overloaded", true, failure.toString()));
    }
}
