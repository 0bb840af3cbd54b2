package org.wigeonferry.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Retry budget and recent latencies of one service, as seen by this router.
 *
 * <p>Owned by the control thread.
 */
final class ServiceState {
    /**
     * Value of {@link Slowness#meanRatio} from which answers of low confidence are delivered.
     *
     * <p>Indexed by rank; the last value holds for all further ranks.
     */
    private static final double[] MAX_SLOWNESS_BY_RANK = {7, 4.5, 3};

    /** First estimates of waits; a model reads the prompts before in its queue. */
    private static final Duration INITIAL_WAIT_FOR_MODELS = Duration.ofMillis(1500);

    private static final Duration INITIAL_WAIT = Duration.ofMillis(500);

    private final SlidingWindowRetryBudget retryBudget;
    private final Slowness slowness = new Slowness();
    private final Map<Optional<String>, WaitQuantile> waitsByModel = new HashMap<>();
    private final Map<Optional<String>, HedgeWaits> hedgeWaitsByModel = new HashMap<>();
    private final SlidingWindowCounter hedgedSends;

    ServiceState(RoutingLimits limits) {
        retryBudget = new SlidingWindowRetryBudget(limits);
        hedgedSends = new SlidingWindowCounter(limits.retryWindow());
    }

    /** Whether a send that has waited for so long for its response headers is probably lost. */
    boolean isLost(UpstreamState state, Send send, Duration waited) {
        return SilenceRule.isLost(state, send, waits(send.model()).value(), waited);
    }

    SlidingWindowRetryBudget retryBudget() {
        return retryBudget;
    }

    Slowness slowness() {
        return slowness;
    }

    /** Hedged sends within the window of the retry budget. */
    SlidingWindowCounter hedgedSends() {
        return hedgedSends;
    }

    /** Records that the response headers of a send arrived. */
    void onHeaders(Send send, long nowNanos) {
        Duration elapsed = Duration.ofNanos(nowNanos - send.startNanos());
        Duration wait = elapsed.minus(Slowness.timeToProcess(send));
        slowness.recordTimeToHeaders(elapsed, send, nowNanos);
        waits(send.model()).record(wait);
        hedgeWaits(send.model()).record(wait);
    }

    /**
     * Records that a send ended. One that is given up without headers, or cancelled because another
     * send was faster, has waited for at least the time until then: without these the estimates
     * would fall to the waits of the sends that are answered before a hedged one is due.
     */
    void onSendEnd(SendReport report, long nowNanos) {
        boolean stillWaited =
                report.outcome() == SendOutcome.SILENT
                        || report.outcome() == SendOutcome.SUPERSEDED;
        if (report.headersReceived() || !stillWaited) {
            return;
        }
        Send send = report.send();
        Duration elapsed = Duration.ofNanos(nowNanos - send.startNanos());
        Duration wait = elapsed.minus(Slowness.timeToProcess(send));
        waits(send.model()).recordGivenUp(wait);
        hedgeWaits(send.model()).recordGivenUp(wait);
    }

    /**
     * Waits before the response headers of sends to a model; empty for a service without models.
     */
    WaitQuantile waits(Optional<String> model) {
        return waitsByModel.computeIfAbsent(model, key -> new WaitQuantile(initialWait(key)));
    }

    /** Waits by which hedged sends to a model are timed. */
    HedgeWaits hedgeWaits(Optional<String> model) {
        return hedgeWaitsByModel.computeIfAbsent(model, key -> new HedgeWaits(initialWait(key)));
    }

    private static Duration initialWait(Optional<String> model) {
        return model.isPresent() ? INITIAL_WAIT_FOR_MODELS : INITIAL_WAIT;
    }

    /** Whether retries that only improve an answer are allowed. */
    boolean hasSpareRetries(long nowNanos, int routerCount) {
        return retryBudget.hasSpareRetries(nowNanos, routerCount);
    }

    /**
     * Whether the service is fast enough on average to drop an answer of low confidence and send
     * the request to a larger model. The slower it is, the more urgent a request has to be for
     * that.
     */
    boolean isFastEnoughToEscalate(int rank, long nowNanos) {
        double maxSlowness = MAX_SLOWNESS_BY_RANK[Math.min(rank, MAX_SLOWNESS_BY_RANK.length - 1)];
        return slowness.meanRatio(nowNanos) < maxSlowness;
    }
}
