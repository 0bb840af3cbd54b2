package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Chooses the upstream of a job: least work that it adds and waits for, in prompt tokens to read.
 *
 * <p>Owned by the control thread.
 */
final class Placer {
    /** Work of a running request, in prompt tokens. */
    private static final double RUNNING_TOKENS = 300;

    /** Cost of bytes that leave the availability zone, in prompt tokens. */
    private static final double ZONE_TOKENS = 400;

    /** Cost of a failed answer, in prompt tokens. */
    private static final double FAILURE_TOKENS = 30_000;

    /** Shares of failures below this are normal. */
    private static final double NORMAL_FAILURES = 0.25;

    private final String zone;
    private final UpstreamDirectory directory;

    Placer(String zone, UpstreamDirectory directory) {
        this.zone = zone;
        this.directory = directory;
    }

    Optional<UpstreamState> choose(Job job, Optional<String> model, UpstreamRule rule, long now) {
        List<UpstreamState> candidates =
                directory.states().stream().filter(state -> rule.allows(state, job, now)).toList();
        List<UpstreamState> well =
                candidates.stream().filter(state -> !state.suspended(now)).toList();
        return (well.isEmpty() ? candidates : well)
                .stream().min(Comparator.comparingDouble(state -> cost(state, job, model, now)));
    }

    /** Prompt tokens that an upstream probably has to read for a job. */
    static int uncached(UpstreamState state, Job job, Optional<String> model) {
        RoutedRequest request = job.request();
        int held = model.map(name -> state.held(name, request)).orElse(0);
        return Math.max(0, request.promptTokens() - held);
    }

    private double cost(UpstreamState state, Job job, Optional<String> model, long now) {
        double work = uncached(state, job, model) - preference(state, job, model);
        work += state.unreadTokens();
        work += RUNNING_TOKENS * (state.running() + state.foreignWork(now));
        if (!state.description().zone().equals(zone)) {
            work += ZONE_TOKENS;
        }
        work += FAILURE_TOKENS * Math.max(0, state.failures() - NORMAL_FAILURES);
        return work;
    }

    /** All entries send a prompt that nobody holds to the same upstream, by rendezvous hashing. */
    private double preference(UpstreamState state, Job job, Optional<String> model) {
        List<PromptPart> parts = job.request().parts();
        if (parts.size() < 2 || model.isEmpty()) {
            return 0;
        }
        PromptPart shared = parts.get(parts.size() - 2);
        int hash = (shared.id() + '@' + state.description().id()).hashCode();
        double draw = (spread(hash) >>> 1) / (double) Integer.MAX_VALUE;
        return draw * shared.tokens() / 2;
    }

    private static int spread(int hash) {
        int mixed = (hash ^ (hash >>> 16)) * 0x7feb352d;
        mixed = (mixed ^ (mixed >>> 15)) * 0x846ca68b;
        return mixed ^ (mixed >>> 16);
    }

    static Send send(UpstreamState state, Job job, Optional<String> model, long now) {
        OptionalInt rank =
                job.account()
                        .map(Account::rank)
                        .filter(OptionalInt::isPresent)
                        .orElse(OptionalInt.of(job.route().rank()));
        return new Send(
                state.description(),
                job.account().map(Account::name),
                model,
                rank,
                Duration.ofNanos(job.deadlineNanos() - now),
                uncached(state, job, model),
                now);
    }
}
