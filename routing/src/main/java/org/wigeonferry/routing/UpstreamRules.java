package org.wigeonferry.routing;

import java.util.Set;
import java.util.function.ToIntFunction;

/**
 * The rules that hold for every send, one predicate each.
 *
 * <p>Stateless; called on the control thread.
 */
final class UpstreamRules {
    /** The upstream belongs to the job's service. */
    static final UpstreamRule SERVES =
            (upstream, job, now) -> upstream.description().service().equals(job.service());

    /** The upstream isn't leaving. */
    static final UpstreamRule STAYS = (upstream, job, now) -> !upstream.description().leaving();

    /** The job wasn't sent there before. */
    static final UpstreamRule UNTRIED =
            (upstream, job, now) -> !job.tried(upstream.description().incarnation());

    private UpstreamRules() {}

    /** The upstream stands in none of the zones. */
    static UpstreamRule outside(Set<String> zones) {
        return (upstream, job, now) -> !zones.contains(upstream.description().zone());
    }

    /**
     * A cold upstream gets no more in a second than it bears.
     *
     * @param perSecond this entry's part of what an upstream bears while it is cold
     */
    static UpstreamRule bearing(ToIntFunction<Upstream> perSecond) {
        return (upstream, job, now) ->
                !upstream.cold(now)
                        || upstream.sentLastSecond(now)
                                < perSecond.applyAsInt(upstream.description());
    }
}
