package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.wigeonferry.routing.prediction.StartEstimate;
import org.wigeonferry.routing.waiting.Eviction;
import org.wigeonferry.routing.waiting.QueueDecision;
import org.wigeonferry.routing.waiting.QueueLimits;
import org.wigeonferry.routing.waiting.WaitRefusal;
import org.wigeonferry.routing.waiting.WaitingRequest;

/**
 * The jobs that wait for room at upstreams, in a queue for each service.
 *
 * <p>Invariant: a job waits in at most one queue. Owned by the control thread.
 */
final class WaitingJobs {
    /** Time to the first byte if nothing is known of it, as a share of the latency objective. */
    private static final double ASSUMED_FIRST_BYTE_SHARE = 0.25;

    private final QueueLimits limits;
    private final Map<String, ServiceQueue> queues = new HashMap<>();
    private final Map<Job, WaitingRequest> requestsByJob = new HashMap<>();
    private final Map<Long, Job> jobsByNumber = new HashMap<>();

    /** Jobs that had to leave their queue, until they are routed again. */
    private final Map<Job, RefusalCause> evicted = new HashMap<>();

    private final Consumer<Job> evictionListener;
    private long lastNumber;

    /**
     * Creates empty queues.
     *
     * @param evictionListener called with each job that has to leave its queue
     */
    WaitingJobs(QueueLimits limits, Consumer<Job> evictionListener) {
        this.limits = limits;
        this.evictionListener = evictionListener;
    }

    ServiceQueue queueOf(String service) {
        return queues.computeIfAbsent(service, key -> new ServiceQueue(limits));
    }

    boolean contains(Job job) {
        return requestsByJob.containsKey(job);
    }

    /** The waiting jobs of all services, in the order in which they leave. */
    List<Job> inOrder() {
        return queues.values().stream()
                .map(service -> service.queue().inOrder())
                .flatMap(Collection::stream)
                .map(request -> jobsByNumber.get(request.number()))
                .toList();
    }

    /** Whether a job comes after others that wait for the upstreams of its service. */
    boolean isBehindOthers(Job job) {
        return !contains(job) && !evicted.containsKey(job) && hasWaitingJobs(job.service());
    }

    /** Whether jobs wait for the upstreams of a service. */
    boolean hasWaitingJobs(String service) {
        return queueOf(service).queue().size() > 0;
    }

    /**
     * Lets a job wait, or go on waiting, or refuses it.
     *
     * @param startEstimate predicts the time to the first byte, counted from the send
     */
    PlacementResult waitOrRefuse(Job job, StartEstimate startEstimate, long nowNanos) {
        RefusalCause eviction = evicted.remove(job);
        if (eviction != null) {
            return refuse(job, eviction, nowNanos);
        }
        WaitingRequest waiting = requestsByJob.get(job);
        if (waiting != null) {
            long leftNanos = waiting.latestStartNanos() - nowNanos;
            if (leftNanos > 0) {
                return new Waiting(Duration.ZERO, Duration.ofNanos(leftNanos));
            }
            remove(job);
            return refuse(job, RefusalCause.WAIT_TOO_LONG, nowNanos);
        }
        WaitingRequest request = newRequest(job, startEstimate, nowNanos);
        QueueDecision decision = queueOf(job.service()).queue().offer(request, nowNanos);
        decision.evictions().forEach(this::evict);
        if (decision.refusal().isPresent()) {
            return refuse(job, causeOf(decision.refusal().get()), nowNanos);
        }
        requestsByJob.put(job, request);
        jobsByNumber.put(request.number(), job);
        return new Waiting(
                decision.expectedWait(), Duration.ofNanos(request.latestStartNanos() - nowNanos));
    }

    /** Removes a job that need not wait any longer. */
    void remove(Job job) {
        evicted.remove(job);
        WaitingRequest request = requestsByJob.remove(job);
        if (request != null) {
            jobsByNumber.remove(request.number());
            queueOf(job.service()).queue().remove(request.number());
        }
    }

    /** Tries to send the jobs that wait, queue by queue, in order. */
    void dispatch(Predicate<Job> tryToSend) {
        for (ServiceQueue service : List.copyOf(queues.values())) {
            service.queue()
                    .dispatch(
                            request -> {
                                Job job = jobsByNumber.get(request.number());
                                boolean left = tryToSend.test(job);
                                if (left) {
                                    remove(job);
                                }
                                return left;
                            });
        }
    }

    private void evict(Eviction eviction) {
        Job job = jobsByNumber.remove(eviction.request().number());
        requestsByJob.remove(job);
        evicted.put(job, causeOf(eviction.cause()));
        evictionListener.accept(job);
    }

    private Refused refuse(Job job, RefusalCause cause, long nowNanos) {
        Duration retryAfter = queueOf(job.service()).retryAfterRefusal(job, nowNanos);
        return new Refused(
                job.possibleRuns() > 0 ? RefusalCause.OUTCOME_UNKNOWN : cause,
                Optional.of(retryAfter));
    }

    private WaitingRequest newRequest(Job job, StartEstimate startEstimate, long nowNanos) {
        lastNumber++;
        Duration objective = job.route().latencyObjective();
        long answerNanos =
                startEstimate
                        .timeToFirstByte(job, nowNanos)
                        .map(Duration::toNanos)
                        .orElse((long) (objective.toNanos() * ASSUMED_FIRST_BYTE_SHARE));
        long latestStartNanos =
                job.deadlineNanos() - RoutingState.MIN_TIME_LEFT.toNanos() - answerNanos;
        if (!job.wasSentBefore()) {
            // A later answer is worth less to the caller than an early refusal.
            latestStartNanos =
                    Math.min(latestStartNanos, nowNanos + objective.toNanos() - answerNanos);
        }
        return new WaitingRequest(
                lastNumber,
                ServiceQueue.accountName(job),
                UpstreamSelector.rank(job),
                job.request().maxTokens(),
                job.bodyBytes(),
                nowNanos,
                latestStartNanos);
    }

    private static RefusalCause causeOf(WaitRefusal refusal) {
        return switch (refusal) {
            case WAIT_TOO_LONG -> RefusalCause.WAIT_TOO_LONG;
            case QUEUE_FULL -> RefusalCause.QUEUE_FULL;
        };
    }
}
