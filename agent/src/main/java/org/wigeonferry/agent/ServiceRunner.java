package org.wigeonferry.agent;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.eclipse.jetty.util.Callback;
import org.wigeonferry.core_types.Refusal;
import org.wigeonferry.core_types.RefusalReason;
import org.wigeonferry.core_types.StartOrder;
import org.wigeonferry.messages.AnswerFrames;
import org.wigeonferry.messages.gen.EndMessage;
import org.wigeonferry.messages.gen.FailureMessage;
import org.wigeonferry.messages.gen.OrderMessage;
import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.platform_clients.TableService;

/**
 * Runs orders on a non-model service. Calls with an idempotency key are not safe to repeat and run
 * at most once, see {@link StartOnceFlow}; calls without one are sent directly.
 *
 * <p>Thread safe.
 */
final class ServiceRunner implements OrderRunner {
    private final ControlExecutor control;
    private final Admission admission;
    private final ServiceCalls calls;
    private final TableService table;
    private final AbandonedRowWriter abandonedRowWriter;
    private final String incarnation;

    ServiceRunner(
            ControlExecutor control,
            Admission admission,
            ServiceCalls calls,
            TableService table,
            AbandonedRowWriter abandonedRowWriter,
            String incarnation) {
        this.control = control;
        this.admission = admission;
        this.calls = calls;
        this.table = table;
        this.abandonedRowWriter = abandonedRowWriter;
        this.incarnation = incarnation;
    }

    @Override
    public void run(StartOrder order, OrderMessage message, FrameSink sink) {
        long startNanos = control.nanoTime();
        if (order.idempotencyKey().isEmpty()) {
            runWithoutKey(order, message.getBody(), sink, startNanos);
            return;
        }
        String attemptToken = incarnation + "/" + order.attemptKey();
        new StartOnceFlow(
                        order,
                        attemptToken,
                        message.getBody(),
                        control,
                        calls,
                        table,
                        abandonedRowWriter)
                .start()
                .whenComplete(
                        (outcome, failure) -> reply(order, sink, startNanos, outcome, failure));
    }

    private void runWithoutKey(StartOrder order, byte[] body, FrameSink sink, long startNanos) {
        calls.call(order, body)
                .handle(
                        (result, failure) -> {
                            if (failure == null) {
                                return ServiceOutcome.ofResult(result, false);
                            }
                            if (ServiceCalls.isConnectFailure(failure)) {
                                return ServiceOutcome.ofNotRun(
                                        RefusalReason.NOT_CONNECTED,
                                        "could not connect to the service");
                            }
                            return ServiceOutcome.ofUnknown(failure.toString());
                        })
                .whenComplete(
                        (outcome, failure) -> reply(order, sink, startNanos, outcome, failure));
    }

    private void reply(
            StartOrder order,
            FrameSink sink,
            long startNanos,
            ServiceOutcome outcomeIfNoFailure,
            Throwable failure) {
        Duration latency = Duration.ofNanos(control.nanoTime() - startNanos);
        ServiceOutcome outcome =
                failure == null ? outcomeIfNoFailure : ServiceOutcome.ofUnknown(failure.toString());
        control.execute(
                () -> {
                    if (outcome.result().isPresent()) {
                        // For the concurrency limit the response counts as a first token.
                        admission.onFirstToken(order, latency);
                    }
                    AgentLoad load = admission.onAttemptFinished(order);
                    if (outcome.refusal().isPresent()) {
                        reportRefusal(order, sink, outcome.refusal().get(), load);
                    } else if (outcome.result().isPresent()) {
                        reportResult(order, sink, outcome, load);
                    } else {
                        reportFailure(order, sink, outcome.detail());
                    }
                });
    }

    private static void reportRefusal(
            StartOrder order, FrameSink sink, Refusal refusal, AgentLoad load) {
        sink.finish(
                AnswerFrames.refusalFrame(
                        order,
                        refusal,
                        order.revision(),
                        load.attemptsInFlight(),
                        load.concurrencyLimit()));
    }

    private static void reportResult(
            StartOrder order, FrameSink sink, ServiceOutcome outcome, AgentLoad load) {
        ServiceResult result = outcome.result().orElseThrow();
        byte[] body = result.body().getBytes(StandardCharsets.UTF_8);
        EndMessage end = new EndMessage();
        end.setLength(body.length);
        end.setTarget(order.service().map(Object::toString).orElse(""));
        end.setTokens(0);
        end.setInFlight(load.attemptsInFlight());
        end.setLimit(load.concurrencyLimit());
        end.setStatus(result.status());
        end.setStored(outcome.stored());
        sink.write(
                List.of(AnswerFrames.chunkFrame(order, 0, body)),
                Callback.from(() -> sink.finish(AnswerFrames.endFrame(order, end)), ignored -> {}));
    }

    private static void reportFailure(StartOrder order, FrameSink sink, String detail) {
        FailureMessage failure = new FailureMessage();
        failure.setStep("call service");
        failure.setPeer("service");
        failure.setDetail(detail);
        failure.setCrashed(false);
        failure.setCondemned(false);
        failure.setPosition(0);
        sink.finish(AnswerFrames.failureFrame(order, failure));
    }
}
