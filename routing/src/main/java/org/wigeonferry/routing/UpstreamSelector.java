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
final class UpstreamSelector {
    /** Work of a running request, in prompt tokens. */
    private static final double RUNNING_TOKENS = 300;

    /** Cost of bytes that leave the availability zone, in prompt tokens. */
    private static final double ZONE_TOKENS = 400;

    /** Cost of a failed answer, in prompt tokens. */
    private static final double FAILURE_TOKENS = 30_000;

    /** Cost of running small and large models beside each other, in prompt tokens. */
    private static final double MIXING_TOKENS = 5_000;

    /** Shares of failures below this are normal. */
    private static final double NORMAL_FAILURES = 0.25;

    private final String zone;
    private final UpstreamDirectory directory;

    UpstreamSelector(String zone, UpstreamDirectory directory) {
        this.zone = zone;
        this.directory = directory;
    }

    Optional<UpstreamState> select(Job job, Optional<String> model, UpstreamRule rule, long now) {
        List<UpstreamState> candidates =
                directory.states().stream().filter(state -> rule.allows(state, job, now)).toList();
        List<UpstreamState> well =
                candidates.stream().filter(state -> !state.isSuspended(now)).toList();
        return (well.isEmpty() ? candidates : well)
                .stream().min(Comparator.comparingDouble(state -> cost(state, job, model, now)));
    }

    /** Prompt tokens that an upstream probably has to read for a job. */
    static int uncachedTokens(UpstreamState state, Job job, Optional<String> model) {
        RoutedRequest request = job.request();
        int held = model.map(name -> state.cachedTokens(name, request)).orElse(0);
        return Math.max(0, request.promptTokens() - held);
    }

    /** The same in tokens of the dearest model, by the models' costs. */
    private static int weighted(UpstreamState state, Job job, Optional<String> model) {
        double weight = model.map(state::relativeCost).orElse(1.0);
        return (int) Math.round(uncachedTokens(state, job, model) * weight);
    }

    private double cost(UpstreamState state, Job job, Optional<String> model, long now) {
        double work = weighted(state, job, model) - preference(state, job, model);
        work += state.queuedTokens();
        work += RUNNING_TOKENS * (state.runningSends() + state.requestsOfOtherRouters(now));
        if (!state.instance().zone().equals(zone)) {
            work += ZONE_TOKENS;
        }
        if (model.filter(name -> directory.engineShares().wouldMixModelSizes(state, name))
                .isPresent()) {
            work += MIXING_TOKENS;
        }
        work += FAILURE_TOKENS * Math.max(0, state.failureShare() - NORMAL_FAILURES);
        return work;
    }

    /** All entries send a prompt that nobody holds to the same upstream, by rendezvous hashing. */
    private double preference(UpstreamState state, Job job, Optional<String> model) {
        List<PromptPart> parts = job.request().parts();
        if (parts.size() < 2 || model.isEmpty()) {
            return 0;
        }
        PromptPart shared = parts.get(parts.size() - 2);
        double draw = Hashes.fraction(shared.id() + '@' + state.instance().id());
        return draw * shared.tokens() * model.map(state::relativeCost).orElse(1.0) / 2;
    }

    static Send newSend(UpstreamState state, Job job, ModelSelection step, long now) {
        return new Send(
                state.instance(),
                job.account().map(Account::name),
                step.model(),
                step.minConfidence(),
                OptionalInt.of(rank(job)),
                Duration.ofNanos(job.deadlineNanos() - now),
                weighted(state, job, step.model()),
                now);
    }

    /** Urgency of a job: the account's goes before the route's. */
    static int rank(Job job) {
        OptionalInt own = job.account().map(Account::rank).orElse(OptionalInt.empty());
        return Math.max(0, own.orElse(job.route().rank()));
    }
}
