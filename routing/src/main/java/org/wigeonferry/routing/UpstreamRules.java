package org.wigeonferry.routing;

import java.util.Set;
import java.util.function.ToDoubleFunction;

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
     * A cold upstream gets no more in a second than it bears, but one at least.
     *
     * @param perSecond this entry's part of what a cold upstream of a service bears
     */
    static UpstreamRule bearing(ToDoubleFunction<String> perSecond) {
        return (upstream, job, now) ->
                !upstream.cold(now)
                        || upstream.sentLastSecond(now)
                                < Math.max(1, Math.floor(perSecond.applyAsDouble(job.service())));
    }
}
