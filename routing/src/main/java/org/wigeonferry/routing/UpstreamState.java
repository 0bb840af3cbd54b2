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
    private Upstream description;
    private long coldUntilNanos;
    private Optional<EngineTraits> engine = Optional.empty();
    private final PromptMemory memory = new PromptMemory(DEFAULT_CAPACITY_TOKENS / 2);
    private final SlidingCount recent = new SlidingCount(COLD_SPAN);
    private int running;
    private long unreadTokens;
    private double failures;
    private int breaks;
    private long suspendedUntilNanos;
    private Optional<UpstreamLoad> load = Optional.empty();
    private long loadNanos;

    UpstreamState(Upstream description, long now) {
        this.description = description;
        suspendedUntilNanos = now;
        coldUntilNanos = now + description.coldLeft().toNanos();
    }

    Upstream description() {
        return description;
    }

    /** Takes what the configuration says of the service's engines. */
    void engine(Optional<EngineTraits> traits) {
        engine = traits;
        int tokens = traits.map(EngineTraits::capacityTokens).orElse(DEFAULT_CAPACITY_TOKENS);
        memory.capacity(tokens / 2);
    }

    boolean runsModelsOfBothKinds() {
        return engine.filter(EngineTraits::bothKinds).isPresent();
    }

    void describe(Upstream next, long now) {
        description = next;
        if (!next.coldLeft().isZero()) {
            coldUntilNanos = now + next.coldLeft().toNanos();
        }
    }

    boolean cold(long now) {
        return coldUntilNanos - now > 0;
    }

    int sentLastSecond(long now) {
        return recent.count(now);
    }

    /** Work that a token is for a model, as a share of the dearest model's. */
    double workShare(String model) {
        return engine.map(traits -> traits.workShare(model)).orElse(1.0);
    }

    boolean suspended(long now) {
        return suspendedUntilNanos - now > 0;
    }

    int running() {
        return running;
    }

    long unreadTokens() {
        return unreadTokens;
    }

    double failures() {
        return failures;
    }

    int held(String model, RoutedRequest request) {
        return memory.held(model, request.parts());
    }

    /** Work of other entries at this upstream, as far as its own count is recent. */
    int foreignWork(long now) {
        if (load.isEmpty() || now - loadNanos > LOAD_LIFE.toNanos()) {
            return 0;
        }
        return Math.max(0, load.get().running() + load.get().waiting() - running);
    }

    void onSend(Send send, RoutedRequest request, long now) {
        running++;
        unreadTokens += send.uncachedTokens();
        recent.add(now);
        send.model().ifPresent(model -> memory.read(model, request.parts()));
    }

    /** Whether a send without an answer looks lost rather than queued. */
    boolean looksLost(Send send, long now) {
        long waited = now - send.startNanos();
        long queue = LONGEST_START.toNanos() + unreadTokens * NANOS_PER_TOKEN;
        boolean nobodyAnswered = answeredStarts.stream().noneMatch(t -> t - send.startNanos() > 0);
        long overtaken =
                answeredStarts.stream()
                        .filter(t -> t - send.startNanos() > OVERTAKING.toNanos())
                        .count();
        return (nobodyAnswered && waited > queue) || overtaken >= OVERTAKERS;
    }

    void onHead(Send send, Optional<UpstreamLoad> counted, long now) {
        unreadTokens -= send.uncachedTokens();
        answeredStarts.addLast(send.startNanos());
        if (answeredStarts.size() > ANSWERS_KEPT) {
            answeredStarts.removeFirst();
        }
        counted.ifPresent(value -> noteLoad(value, now));
    }

    void onEnd(SendReport report, long now) {
        running--;
        Outcome outcome = report.outcome();
        if (outcome == Outcome.ANSWERED) {
            breaks = 0;
        }
        if (outcome == Outcome.ANSWERED || outcome.bad()) {
            failures += FAILURE_WEIGHT * ((outcome.bad() ? 1 : 0) - failures);
        }
        if (outcome == Outcome.NOT_SENT || outcome == Outcome.BROKEN || outcome == Outcome.SILENT) {
            suspend(now);
        }
    }

    private void noteLoad(UpstreamLoad value, long now) {
        load = Optional.of(value);
        loadNanos = now;
    }

    private void suspend(long now) {
        long pause = FIRST_SUSPENSION.toNanos() << Math.min(breaks, MAX_DOUBLINGS);
        suspendedUntilNanos = now + pause;
        breaks++;
    }
}
