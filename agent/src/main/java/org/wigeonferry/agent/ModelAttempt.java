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
import org.wigeonferry.messages.AnswerFrames;
import org.wigeonferry.messages.gen.EndMessage;
import org.wigeonferry.messages.gen.FailureMessage;
import org.wigeonferry.messages.gen.FrameMessage;
import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.node_runtime.NodeMetrics;
import org.wigeonferry.platform_clients.JsonHttpClient;

/**
 * One attempt on a model engine.
 *
 * <p>The answer is complete only if the engine sent its end event, and valid only if the engine
 * reports the ordered version. Applies backpressure: reads on only when the previous write to the
 * entry succeeded. Callbacks of one request never run at the same time, so no lock is needed.
 */
final class ModelAttempt {
    /** Data of the server-sent event that ends a complete answer. */
    private static final String END_EVENT = "[DONE]";

    private static final String VERSION_HEADER = "X-Engine-Version";
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    /**
     * Delay before a broken stream is reported, in which {@link UpstreamWatcher} detects a crash if
     * that was the cause.
     */
    private static final Duration CRASH_DETECTION_DELAY = Duration.ofMillis(250);

    private final StartOrder order;
    private final FrameSink sink;
    private final ControlExecutor control;
    private final Admission admission;
    private final NodeMetrics metrics;
    private final SseReader events = new SseReader();
    private final long startNanos;
    private Consumer<Throwable> abort = failure -> {};
    private volatile long answerBytes;

    /** Events that contained text; reported as the number of generated tokens. */
    private long textEvents;

    private boolean responseStarted;
    private boolean firstTokenSeen;
    private boolean endEventSeen;
    private Optional<Throwable> entryWriteFailure = Optional.empty();

    ModelAttempt(
            StartOrder order,
            long resumeAtByte,
            FrameSink sink,
            ControlExecutor control,
            Admission admission,
            NodeMetrics metrics) {
        this.order = order;
        this.answerBytes = resumeAtByte;
        this.sink = sink;
        this.control = control;
        this.startNanos = control.nanoTime();
        this.admission = admission;
        this.metrics = metrics;
    }

    /**
     * Returns the bytes of the answer so far, including those of the attempt that this one resumes;
     * may be read by any thread.
     */
    long answerBytes() {
        return answerBytes;
    }

    void setAbortAction(Consumer<Throwable> action) {
        abort = action;
    }

    void onResponseBegin(Response response) {
        responseStarted = true;
    }

    void onHeaders(Response response) {
        if (response.getStatus() != OK) {
            return;
        }
        String version = response.getHeaders().get(VERSION_HEADER);
        boolean isOrderedVersion =
                order.version().filter(v -> v.value().equals(version)).isPresent();
        if (!isOrderedVersion) {
            abort.accept(
                    new StepException(
                            "check version",
                            "engine",
                            "answer is from another version than ordered: " + version));
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
                handleEvent(event).ifPresent(frames::add);
            }
            forwardToEntry(frames, demand);
        } catch (StepException e) {
            abort.accept(e);
        }
    }

    void onComplete(Result result) {
        if (entryWriteFailure.isPresent()) {
            control.execute(() -> admission.onAttemptCancelled(order));
            return;
        }
        boolean errorStatus = result.getFailure() == null && result.getResponse().getStatus() != OK;
        boolean connectFailed = !responseStarted && isConnectFailure(result.getFailure());
        if (connectFailed || (errorStatus && result.getResponse().getStatus() == UNAVAILABLE)) {
            reportNotAccepted(connectFailed);
            return;
        }
        if (result.getFailure() == null && endEventSeen) {
            reportEnd();
            return;
        }
        String detail =
                result.getFailure() == null
                        ? "status "
                                + result.getResponse().getStatus()
                                + ", but the stream had no [DONE] event"
                        : result.getFailure().toString();
        control.schedule(CRASH_DETECTION_DELAY, () -> reportFailure(detail));
    }

    /** Records the event; returns a frame for the entry if the event contains text. */
    private Optional<FrameMessage> handleEvent(String event) {
        if (event.equals(END_EVENT)) {
            endEventSeen = true;
            return Optional.empty();
        }
        JsonNode json = JsonHttpClient.parseJson(event);
        String text = json.path("choices").path(0).path("delta").path("content").asText("");
        if (text.isEmpty()) {
            return Optional.empty();
        }
        if (!firstTokenSeen) {
            firstTokenSeen = true;
            recordFirstToken();
        }
        textEvents++;
        byte[] data = text.getBytes(StandardCharsets.UTF_8);
        FrameMessage frame = AnswerFrames.chunkFrame(order, answerBytes, data);
        answerBytes = answerBytes + data.length;
        return Optional.of(frame);
    }

    private void recordFirstToken() {
        Duration latency = Duration.ofNanos(control.nanoTime() - startNanos);
        metrics.recordDuration("first_token", "account", order.account().value(), latency);
        control.execute(() -> admission.onFirstToken(order, latency));
    }

    private void forwardToEntry(List<FrameMessage> frames, Runnable demand) {
        if (frames.isEmpty()) {
            demand.run();
            return;
        }
        sink.write(
                frames,
                Callback.from(
                        demand,
                        failure -> {
                            entryWriteFailure = Optional.of(failure);
                            abort.accept(failure);
                        }));
    }

    private void reportNotAccepted(boolean connectFailed) {
        RefusalReason reason =
                connectFailed ? RefusalReason.NOT_CONNECTED : RefusalReason.CONCURRENCY_LIMIT;
        control.execute(
                () -> {
                    admission.onAttemptCancelled(order);
                    sink.finish(
                            AnswerFrames.refusalFrame(
                                    order,
                                    Refusal.of(reason, "engine did not accept the request"),
                                    order.revision(),
                                    admission.currentLoad().attemptsInFlight(),
                                    admission.currentLoad().concurrencyLimit()));
                });
    }

    private void reportEnd() {
        control.execute(
                () -> {
                    AgentLoad load = admission.onAttemptFinished(order);
                    EndMessage end = new EndMessage();
                    end.setLength(answerBytes);
                    end.setTarget(order.version().map(Object::toString).orElse(""));
                    end.setTokens(textEvents);
                    end.setInFlight(load.attemptsInFlight());
                    end.setLimit(load.concurrencyLimit());
                    end.setStatus(OK);
                    end.setStored(false);
                    sink.finish(AnswerFrames.endFrame(order, end));
                });
    }

    private void reportFailure(String detail) {
        // An upstream crash removes the attempt from those in flight, see Admission.
        boolean crashed = !admission.isInFlight(order);
        admission.onAttemptCancelled(order);
        FailureMessage failure = new FailureMessage();
        failure.setStep("run request on engine");
        failure.setPeer("engine");
        failure.setDetail(detail);
        failure.setCrashed(crashed);
        failure.setCondemned(admission.isPoison(order));
        failure.setPosition(answerBytes);
        sink.finish(AnswerFrames.failureFrame(order, failure));
    }

    private static boolean isConnectFailure(Throwable failure) {
        return failure instanceof ConnectException;
    }
}
