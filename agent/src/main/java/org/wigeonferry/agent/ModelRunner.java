package org.wigeonferry.agent;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.StartOrder;
import org.wigeonferry.messages.gen.OrderMessage;
import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.node_runtime.NodeMetrics;

/**
 * Runs admitted orders on a model engine that streams server-sent events.
 *
 * <p>Thread safe.
 */
final class ModelRunner implements OrderRunner {
    private static final String COMPLETIONS_PATH = "/v1/chat/completions";

    private final HttpClient client;
    private final HostAddress engine;
    private final ControlExecutor control;
    private final Admission admission;
    private final NodeMetrics metrics;

    ModelRunner(
            HttpClient client,
            HostAddress engine,
            ControlExecutor control,
            Admission admission,
            NodeMetrics metrics) {
        this.client = client;
        this.engine = engine;
        this.control = control;
        this.admission = admission;
        this.metrics = metrics;
    }

    @Override
    public void run(StartOrder order, OrderMessage message, FrameSink sink) {
        Request request = createRequest(order, message);
        ModelAttempt attempt =
                new ModelAttempt(
                        order, message.getResumeOffset(), sink, control, admission, metrics);
        attempt.setAbortAction(request::abort);
        control.execute(() -> admission.registerAnswerPosition(order, attempt::answerBytes));
        request.onResponseBegin(attempt::onResponseBegin)
                .onResponseHeaders(attempt::onHeaders)
                .onResponseContentAsync(attempt::onContent)
                .send(attempt::onComplete);
    }

    private Request createRequest(StartOrder order, OrderMessage message) {
        Duration timeout = order.timeLeft();
        return client.newRequest("http://" + engine + COMPLETIONS_PATH)
                .method(HttpMethod.POST)
                .headers(
                        fields -> {
                            fields.put("X-Request-Id", order.attemptKey());
                            order.version().ifPresent(v -> fields.put("X-Version", v.value()));
                            fields.put("X-Resume-Offset", message.getResumeOffset());
                        })
                .body(new BytesRequestContent("application/json", message.getBody()))
                .timeout(Math.max(1, timeout.toMillis()), TimeUnit.MILLISECONDS);
    }
}
