package org.wigeonferry.router;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;
import org.wigeonferry.node_runtime.NodeMetrics;
import org.wigeonferry.routing.Account;
import org.wigeonferry.routing.Job;
import org.wigeonferry.routing.PromptPart;
import org.wigeonferry.routing.RefusalCause;
import org.wigeonferry.routing.Send;
import org.wigeonferry.routing.SendOutcome;
import org.wigeonferry.routing.SendReport;
import org.wigeonferry.routing.UpstreamAnnouncement;
import org.wigeonferry.routing.hedging.NoHedgeCause;
import org.wigeonferry.routing.prediction.Prediction;

/**
 * Logs the decisions on one call and its outcome, and updates the metrics.
 *
 * <p>Thread safe.
 */
final class CallLog {
    private static final Logger LOG = LoggerFactory.getLogger("call");

    /** Prompt parts beyond are left out of a log line. */
    private static final int MAX_LOGGED_PARTS = 8;

    private final NodeMetrics metrics;
    private final Job job;
    private final long startNanos;

    CallLog(NodeMetrics metrics, Job job, long startNanos) {
        this.metrics = metrics;
        this.job = job;
        this.startNanos = startNanos;
    }

    /** Logs a send; {@code predicted_ms} is -1 if no response of the service has been seen. */
    void logPlaced(Send send) {
        newLogEvent(Level.INFO)
                .addKeyValue("upstream", send.upstream().id())
                .addKeyValue("peer", send.upstream().address())
                .addKeyValue("release", send.upstream().release())
                .addKeyValue("model", send.model().orElse(""))
                .addKeyValue("revision", job.revision())
                .addKeyValue("left_ms", send.timeLeft().toMillis())
                .addKeyValue("unread_tokens", send.weightedUncachedTokens())
                .addKeyValue("session", job.request().sessionId().orElse(""))
                .addKeyValue(
                        "predicted_ms",
                        send.prediction()
                                .filter(Prediction::learned)
                                .map(p -> p.time().toMillis())
                                .orElse(-1L))
                .log("placed");
    }

    /** Logs that a second send is made while the first has waited for its response. */
    void logHedged(Send first, Send hedge) {
        metrics.count("hedged_sends", "service", job.service());
        long waitedNanos = hedge.startNanos() - first.startNanos();
        newLogEvent(Level.INFO)
                .addKeyValue("upstream", hedge.upstream().id())
                .addKeyValue("first_upstream", first.upstream().id())
                .addKeyValue("waited_ms", Duration.ofNanos(waitedNanos).toMillis())
                .log("hedged");
    }

    /** Logs why there is no second send, although the first has waited for long. */
    void logHedgeRefused(NoHedgeCause cause) {
        String name = lowerCase(cause.name());
        metrics.count("hedged_sends_refused_" + name, "service", job.service());
        newLogEvent(Level.INFO).addKeyValue("cause", name).log("not hedged");
    }

    /** Counts a hedged send whose response reaches the caller. */
    void recordHedgeWon() {
        metrics.count("hedged_sends_won", "service", job.service());
    }

    /**
     * Logs the end of a send; {@code first_ms} is -1 if no byte of the body arrived, {@code
     * gap_us}, the mean time between events, if there were fewer than two. The prompt's parts are
     * logged unless an answer was delivered, as one of them may have crashed the upstream.
     *
     * @param framing how the upstream marks the end of its response; empty if no head arrived
     */
    void logSendEnded(
            SendReport report,
            Optional<ResponseHead> head,
            Optional<MessageFraming> framing,
            Optional<Throwable> cause) {
        SendOutcome outcome = report.outcome();
        metrics.count("sends_" + lowerCase(outcome.name()), "service", job.service());
        recordPredictionRatio(report);
        LoggingEventBuilder event = newLogEvent(outcome.isFailure() ? Level.WARN : Level.INFO);
        if (!outcome.isCompleteAnswer()) {
            event = event.addKeyValue("parts", partIds());
        }
        event.addKeyValue("upstream", report.send().upstream().id())
                .addKeyValue("peer", report.send().upstream().address())
                .addKeyValue("outcome", lowerCase(outcome.name()))
                .addKeyValue(
                        "first_ms", report.timeToFirstByte().map(Duration::toMillis).orElse(-1L))
                .addKeyValue(
                        "gap_us", report.meanEventGap().map(g -> g.toNanos() / 1000).orElse(-1L))
                .addKeyValue("status", head.map(ResponseHead::status).orElse(0))
                .addKeyValue("confidence", head.flatMap(ResponseHead::confidence).orElse(-1))
                .addKeyValue("framing", framing.map(f -> lowerCase(f.name())).orElse(""))
                .addKeyValue("cause", cause.map(String::valueOf).orElse(""))
                .log("send ended");
    }

    /** Records how many percent of the predicted time passed before the first byte. */
    private void recordPredictionRatio(SendReport report) {
        Optional<Prediction> prediction = report.send().prediction().filter(Prediction::learned);
        Optional<Duration> observed = report.timeToFirstByte();
        if (prediction.isPresent() && observed.isPresent()) {
            long percent = Math.round(100 * prediction.get().ratioOf(observed.get()));
            metrics.recordValue("predicted_time_percent", "service", job.service(), percent);
        }
    }

    void recordTimeToFirstEvent() {
        metrics.recordDuration("first_answer", "route", job.route().name(), elapsed());
    }

    void logAnswered(int status) {
        newAnsweredEvent(status).log("answered");
    }

    void logRefused(RefusalCause cause) {
        metrics.count("refused_" + lowerCase(cause.name()), "service", job.service());
        newFinalLogEvent(Level.WARN)
                .addKeyValue("cause", lowerCase(cause.name()))
                .addKeyValue("not_run", cause.neverRan())
                .log("refused");
    }

    /** Logs that a stream was answered completely. */
    void logStreamAnswered(MessageFraming framing) {
        newAnsweredEvent(200).addKeyValue("framing", lowerCase(framing.name())).log("answered");
    }

    void logStreamAborted(RefusalCause cause, MessageFraming framing) {
        metrics.count("broken_off", "service", job.service());
        newFinalLogEvent(Level.WARN)
                .addKeyValue("cause", lowerCase(cause.name()))
                .addKeyValue("framing", lowerCase(framing.name()))
                .log("stream broken off");
    }

    void logCallerDisconnected() {
        metrics.count("callers_left", "service", job.service());
        newFinalLogEvent(Level.INFO).log("caller left");
    }

    /**
     * Logs that an upstream leaves or wants no requests; {@code pause_ms} is 0 if it only leaves.
     */
    void logAnnouncement(Send send, UpstreamAnnouncement announcement) {
        metrics.count("upstream_announcements", "service", job.service());
        newLogEvent(Level.INFO)
                .addKeyValue("upstream", send.upstream().id())
                .addKeyValue("leaving", announcement.leaving())
                .addKeyValue("pause_ms", announcement.pause().map(Duration::toMillis).orElse(0L))
                .addKeyValue("requests_per_s", announcement.requestsPerSecond().orElse(-1))
                .log("upstream announced");
    }

    void logPoisonDetected() {
        newLogEvent(Level.WARN).log("content refused from now on: it broke too many upstreams");
    }

    private String partIds() {
        return job.request().parts().stream()
                .limit(MAX_LOGGED_PARTS)
                .map(PromptPart::id)
                .collect(Collectors.joining(","));
    }

    private LoggingEventBuilder newAnsweredEvent(int status) {
        String account = job.account().map(Account::name).orElse("");
        metrics.recordDuration("answered", "account", account, elapsed());
        return newFinalLogEvent(Level.INFO).addKeyValue("status", status);
    }

    private LoggingEventBuilder newFinalLogEvent(Level level) {
        return newLogEvent(level)
                .addKeyValue("runs", job.possibleRuns())
                .addKeyValue("elapsed_ms", elapsed().toMillis());
    }

    private LoggingEventBuilder newLogEvent(Level level) {
        return LOG.atLevel(level)
                .addKeyValue("request", job.request().id())
                .addKeyValue("route", job.route().name())
                .addKeyValue("service", job.service());
    }

    private Duration elapsed() {
        return Duration.ofNanos(System.nanoTime() - startNanos);
    }

    private static String lowerCase(String name) {
        return name.toLowerCase(Locale.ROOT);
    }
}
