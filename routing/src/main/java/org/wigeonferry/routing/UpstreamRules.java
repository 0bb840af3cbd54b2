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
    static final UpstreamRule SERVES_JOB =
            (upstream, job, now) -> upstream.instance().service().equals(job.service());

    /** The upstream isn't leaving. */
    static final UpstreamRule NOT_DRAINING =
            (upstream, job, now) -> !upstream.instance().draining();

    /** The job wasn't sent there before. */
    static final UpstreamRule NOT_TRIED =
            (upstream, job, now) -> !job.wasSentTo(upstream.instance().incarnation());

    private UpstreamRules() {}

    /** The upstream stands in none of the zones. */
    static UpstreamRule outsideZones(Set<String> zones) {
        return (upstream, job, now) -> !zones.contains(upstream.instance().zone());
    }

    /**
     * A cold upstream gets no more in a second than it bears.
     *
     * @param perSecond this entry's part of what an upstream bears while it is cold
     */
    static UpstreamRule withinColdRate(ToIntFunction<UpstreamInstance> perSecond) {
        return (upstream, job, now) ->
                !upstream.isCold(now)
                        || upstream.sendsInLastSecond(now)
                                < perSecond.applyAsInt(upstream.instance());
    }
}
