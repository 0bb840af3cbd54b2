package org.wigeonferry.agent;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;
import org.wigeonferry.core_types.Refusal;
import org.wigeonferry.core_types.RefusalReason;
import org.wigeonferry.core_types.StartOrder;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.messages.Frames;
import org.wigeonferry.messages.gen.EndMessage;
import org.wigeonferry.messages.gen.FailureMessage;
import org.wigeonferry.messages.gen.FrameMessage;
import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.node_runtime.NodeMetrics;
import org.wigeonferry.platform_clients.JsonCalls;

/**
 * One attempt on a model engine.
 *
 * <p>The answer counts only if the engine's end mark came and the engine names the ordered version.
 * Bytes are asked for only after the entry took the ones before. Callbacks of one request never run
 * at the same time, so no lock is needed.
 */
final class ModelAttempt {
    /** Marks the end of a whole answer. */
    private static final String END_MARK = "[DONE]";

    private static final String VERSION_HEADER = "X-Engine-Version";
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    /** Time for the loss of the engine to show after one of its streams was cut. */
    private static final Duration LOSS_GRACE = Duration.ofMillis(250);

    private final StartOrder order;
    private final FrameSink sink;
    private final ControlExecutor control;
    private final Admission admission;
    private final NodeMetrics metrics;
    private final SseReader events = new SseReader();
    private final long startedNanos;
    private Consumer<Throwable> abort = failure -> {};
    private volatile long offset;
    private long tokens;
    private boolean responded;
    private boolean firstTokenSeen;
    private boolean ended;
    private Optional<Throwable> entryGone = Optional.empty();

    ModelAttempt(
            StartOrder order,
            long resumeOffset,
            FrameSink sink,
            ControlExecutor control,
            Admission admission,
            NodeMetrics metrics) {
        this.order = order;
        this.offset = resumeOffset;
        this.sink = sink;
        this.control = control;
        this.startedNanos = control.nanoTime();
        this.admission = admission;
        this.metrics = metrics;
    }

    /** Bytes of the answer so far; may be read by any thread. */
    long answerBytes() {
        return offset;
    }

    void setAbortAction(Consumer<Throwable> action) {
        abort = action;
    }

    void onResponseBegin(Response response) {
        responded = true;
    }

    void onHeaders(Response response) {
        if (response.getStatus() != OK) {
            return;
        }
        String version = response.getHeaders().get(VERSION_HEADER);
        boolean ordered = order.version().filter(v -> v.value().equals(version)).isPresent();
        if (!ordered) {
            abort.accept(
                    new StepException("check version", "engine", "answers as version " + version));
        }
    }

    void onContent(Response response, Content.Chunk chunk, Runnable demand) {
        if (response.getStatus() != OK) {
            demand.run();
            return;
        }
        try {
            List<FrameMessage> frames = new ArrayList<>();
            for (String event : events.readEvents(chunk.getByteBuffer())) {
                frame(event).ifPresent(frames::add);
            }
            forward(frames, demand);
        } catch (StepException e) {
            abort.accept(e);
        }
    }

    void onComplete(Result result) {
        if (entryGone.isPresent()) {
            control.execute(() -> admission.onAttemptCancelled(order));
            return;
        }
        boolean refused = result.getFailure() == null && result.getResponse().getStatus() != OK;
        boolean notConnected = !responded && isConnectFailure(result.getFailure());
        if (notConnected || (refused && result.getResponse().getStatus() == UNAVAILABLE)) {
            refuse(notConnected);
            return;
        }
        if (result.getFailure() == null && ended) {
            finish();
            return;
        }
        String detail =
                result.getFailure() == null
                        ? "status " + result.getResponse().getStatus() + ", no end mark"
                        : result.getFailure().toString();
        control.schedule(LOSS_GRACE, () -> fail(detail));
    }

    private Optional<FrameMessage> frame(String event) {
        if (event.equals(END_MARK)) {
            ended = true;
            return Optional.empty();
        }
        JsonNode json = JsonCalls.parse(event);
        String text = json.path("choices").path(0).path("delta").path("content").asText("");
        if (text.isEmpty()) {
            return Optional.empty();
        }
        if (!firstTokenSeen) {
            firstTokenSeen = true;
            onFirstToken();
        }
        tokens++;
        byte[] data = text.getBytes(StandardCharsets.UTF_8);
        FrameMessage frame = Frames.chunk(order, offset, data);
        offset = offset + data.length;
        return Optional.of(frame);
    }

    private void onFirstToken() {
        Duration latency = Duration.ofNanos(control.nanoTime() - startedNanos);
        metrics.recordDuration("first_token", "account", order.account().value(), latency);
        control.execute(() -> admission.onFirstToken(order, latency));
    }

    private void forward(List<FrameMessage> frames, Runnable demand) {
        if (frames.isEmpty()) {
            demand.run();
            return;
        }
        sink.write(
                frames,
                Callback.from(
                        demand,
                        failure -> {
                            entryGone = Optional.of(failure);
                            abort.accept(failure);
                        }));
    }

    private void refuse(boolean notConnected) {
        RefusalReason reason =
                notConnected ? RefusalReason.NOT_CONNECTED : RefusalReason.CONCURRENCY_LIMIT;
        control.execute(
                () -> {
                    admission.onAttemptCancelled(order);
                    sink.finish(
                            Frames.refusal(
                                    order,
                                    Refusal.of(reason, "engine took no request"),
                                    order.revision(),
                                    admission.currentLoad().attemptsInFlight(),
                                    admission.currentLoad().concurrencyLimit()));
                });
    }

    private void finish() {
        control.execute(
                () -> {
                    AgentLoad load = admission.onAttemptFinished(order);
                    EndMessage end = new EndMessage();
                    end.setLength(offset);
                    end.setTarget(order.version().map(Object::toString).orElse(""));
                    end.setTokens(tokens);
                    end.setInFlight(load.attemptsInFlight());
                    end.setLimit(load.concurrencyLimit());
                    end.setStatus(OK);
                    end.setStored(false);
                    sink.finish(Frames.end(order, end));
                });
    }

    private void fail(String detail) {
        boolean crashed = !admission.isInFlight(order);
        admission.onAttemptCancelled(order);
        FailureMessage failure = new FailureMessage();
        failure.setStep("run on engine");
        failure.setPeer("engine");
        failure.setDetail(detail);
        failure.setCrashed(crashed);
        failure.setCondemned(admission.isPoison(order));
        failure.setPosition(offset);
        sink.finish(Frames.failure(order, failure));
    }

    private static boolean isConnectFailure(Throwable failure) {
        return failure instanceof ConnectException;
    }
}
