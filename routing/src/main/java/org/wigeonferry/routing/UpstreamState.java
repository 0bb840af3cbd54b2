package org.wigeonferry.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * What this entry knows of one upstream beyond its own description.
 *
 * <p>Owned by the control thread.
 */
final class UpstreamState {
    private static final int DEFAULT_CAPACITY_TOKENS = 200_000;
    private static final Duration FIRST_SUSPENSION = Duration.ofMillis(400);
    private static final int MAX_DOUBLINGS = 3;
    private static final double FAILURE_WEIGHT = 0.15;

    /** How long an upstream's own count of its work is believed. */
    private static final Duration LOAD_LIFE = Duration.ofSeconds(1);

    private static final Duration COLD_SPAN = Duration.ofSeconds(1);

    /** Time to the start of an answer when nothing waits. */
    private static final Duration LONGEST_START = Duration.ofMillis(1000);

    /** Time that a token takes which waits to be read, with other entries' work beside it. */
    private static final long NANOS_PER_TOKEN = 250_000;

    /** A send is overtaken by one that started so much later and is answered already. */
    private static final Duration OVERTAKING = Duration.ofMillis(300);

    private static final int OVERTAKERS = 4;
    private static final int ANSWERS_KEPT = 16;

    private final Deque<Long> answeredStarts = new ArrayDeque<>();
    private UpstreamInstance instance;
    private long coldUntilNanos;
    private Optional<EngineTraits> engine = Optional.empty();
    private final PrefixCacheEstimate memory = new PrefixCacheEstimate(DEFAULT_CAPACITY_TOKENS / 2);
    private final SlidingWindowCounter recent = new SlidingWindowCounter(COLD_SPAN);
    private int runningSends;
    private long queuedTokens;
    private double failureShare;
    private int breaks;
    private long suspendedUntilNanos;
    private Optional<ReportedLoad> load = Optional.empty();
    private long loadNanos;

    UpstreamState(UpstreamInstance description, long now) {
        this.instance = description;
        suspendedUntilNanos = now;
        coldUntilNanos = now + description.coldTimeLeft().toNanos();
    }

    UpstreamInstance instance() {
        return instance;
    }

    /** Takes what the configuration says of the service's engines. */
    void setEngineTraits(Optional<EngineTraits> traits) {
        engine = traits;
        int tokens = traits.map(EngineTraits::capacityTokens).orElse(DEFAULT_CAPACITY_TOKENS);
        memory.setCapacityTokens(tokens / 2);
    }

    boolean runsLargeAndSmallModels() {
        return engine.filter(EngineTraits::hasSmallAndLargeModels).isPresent();
    }

    void updateInstance(UpstreamInstance next, long now) {
        instance = next;
        if (!next.coldTimeLeft().isZero()) {
            coldUntilNanos = now + next.coldTimeLeft().toNanos();
        }
    }

    boolean isCold(long now) {
        return coldUntilNanos - now > 0;
    }

    int sendsInLastSecond(long now) {
        return recent.count(now);
    }

    /** Work that a token is for a model, as a share of the dearest model's. */
    double relativeCost(String model) {
        return engine.map(traits -> traits.relativeCost(model)).orElse(1.0);
    }

    boolean isSuspended(long now) {
        return suspendedUntilNanos - now > 0;
    }

    int runningSends() {
        return runningSends;
    }

    long queuedTokens() {
        return queuedTokens;
    }

    double failureShare() {
        return failureShare;
    }

    int cachedTokens(String model, RoutedRequest request) {
        return memory.cachedTokens(model, request.parts());
    }

    /** Work of other entries at this upstream, as far as its own count is recent. */
    int requestsOfOtherRouters(long now) {
        if (load.isEmpty() || now - loadNanos > LOAD_LIFE.toNanos()) {
            return 0;
        }
        return Math.max(0, load.get().running() + load.get().waiting() - runningSends);
    }

    void onSend(Send send, RoutedRequest request, long now) {
        runningSends++;
        queuedTokens += send.weightedUncachedTokens();
        recent.add(now);
        send.model().ifPresent(model -> memory.recordPrompt(model, request.parts()));
    }

    /** Whether a send without an answer looks lost rather than queued. */
    boolean isProbablyLost(Send send, long now) {
        long waited = now - send.startNanos();
        long queue = LONGEST_START.toNanos() + queuedTokens * NANOS_PER_TOKEN;
        boolean nobodyAnswered = answeredStarts.stream().noneMatch(t -> t - send.startNanos() > 0);
        long overtaken =
                answeredStarts.stream()
                        .filter(t -> t - send.startNanos() > OVERTAKING.toNanos())
                        .count();
        return (nobodyAnswered && waited > queue) || overtaken >= OVERTAKERS;
    }

    void onSendResolved(Send send, Optional<ReportedLoad> counted, long now) {
        queuedTokens -= send.weightedUncachedTokens();
        answeredStarts.addLast(send.startNanos());
        if (answeredStarts.size() > ANSWERS_KEPT) {
            answeredStarts.removeFirst();
        }
        counted.ifPresent(value -> noteLoad(value, now));
    }

    void onSendEnd(SendReport report, long now) {
        runningSends--;
        SendOutcome outcome = report.outcome();
        if (outcome == SendOutcome.ANSWERED) {
            breaks = 0;
        }
        if (outcome == SendOutcome.ANSWERED || outcome.isFailure()) {
            failureShare += FAILURE_WEIGHT * ((outcome.isFailure() ? 1 : 0) - failureShare);
        }
        if (outcome == SendOutcome.NOT_SENT
                || outcome == SendOutcome.BROKEN
                || outcome == SendOutcome.SILENT) {
            suspend(now);
        }
    }

    private void noteLoad(ReportedLoad value, long now) {
        load = Optional.of(value);
        loadNanos = now;
    }

    private void suspend(long now) {
        long pause = FIRST_SUSPENSION.toNanos() << Math.min(breaks, MAX_DOUBLINGS);
        suspendedUntilNanos = now + pause;
        breaks++;
    }
}
