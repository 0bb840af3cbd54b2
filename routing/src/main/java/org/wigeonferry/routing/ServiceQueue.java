package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Optional;
import org.wigeonferry.routing.waiting.AccountUse;
import org.wigeonferry.routing.waiting.DrainRate;
import org.wigeonferry.routing.waiting.QueueLimits;
import org.wigeonferry.routing.waiting.RetryAfter;
import org.wigeonferry.routing.waiting.WaitingQueue;

/**
 * What waits for the upstreams of one service, and what the order of the queue depends on.
 *
 * <p>Owned by the control thread.
 */
final class ServiceQueue {
    /** Engine time of a request without tokens, in prompt tokens. */
    private static final double REQUEST_COST_TOKENS = 300;

    /** Engine time of a generated token, in prompt tokens: a step serves all running requests. */
    private static final double ANSWER_TOKEN_COST_TOKENS = 5;

    /** Callers that were refused within this time count as those that will come back. */
    private static final Duration REFUSAL_WINDOW = Duration.ofSeconds(2);

    private final AccountUse use = new AccountUse();
    private final DrainRate drainRate = new DrainRate();
    private final SlidingWindowCounter refusals = new SlidingWindowCounter(REFUSAL_WINDOW);
    private final WaitingQueue queue;

    ServiceQueue(QueueLimits limits) {
        queue = new WaitingQueue(limits, use, drainRate);
    }

    WaitingQueue queue() {
        return queue;
    }

    AccountUse use() {
        return use;
    }

    void onSend(Job job, long nowNanos) {
        drainRate.onStart(queue.priority(UpstreamSelector.rank(job), accountName(job)));
        RoutedRequest request = job.request();
        use.add(
                accountName(job),
                REQUEST_COST_TOKENS
                        + request.promptTokens()
                        + ANSWER_TOKEN_COST_TOKENS * request.maxAnswerTokens(),
                nowNanos);
    }

    void onSendEnd(SendReport report, long nowNanos) {
        drainRate.onEnd(
                report.outcome().isCompleteAnswer()
                        ? Optional.of(Duration.ofNanos(nowNanos - report.send().startNanos()))
                        : Optional.empty());
    }

    /** Counts a refusal, and computes when its caller should come back. */
    Duration retryAfterRefusal(Job job, long nowNanos) {
        refusals.add(nowNanos);
        return RetryAfter.of(
                drainRate,
                queue.size(),
                refusals.count(nowNanos),
                Hashes.fraction(job.request().id()));
    }

    static String accountName(Job job) {
        return job.account().map(Account::name).orElse("");
    }
}
