package org.wigeonferry.routing;

import java.util.Set;
import java.util.function.ToIntFunction;

/**
 * The rules that apply to every send.
 *
 * <p>Stateless; called on the control thread.
 */
final class UpstreamRules {
    /** Allows only upstreams of the job's service. */
    static final UpstreamRule SERVES_JOB =
            (upstream, job, nowNanos) -> upstream.instance().service().equals(job.service());

    /** Allows only upstreams that aren't draining. */
    static final UpstreamRule NOT_DRAINING =
            (upstream, job, nowNanos) -> !upstream.instance().draining();

    /**
     * Allows only upstreams that the job was not sent to before. A send whose answer was dropped
     * for its low confidence doesn't count.
     */
    static final UpstreamRule NOT_TRIED =
            (upstream, job, nowNanos) -> !job.wasSentTo(upstream.instance().incarnation());

    private UpstreamRules() {}

    /** Allows only upstreams of a release. */
    static UpstreamRule ofRelease(String release) {
        return (upstream, job, nowNanos) -> upstream.instance().release().equals(release);
    }

    /** Allows only upstreams of other releases. */
    static UpstreamRule notOfRelease(String release) {
        return (upstream, job, nowNanos) -> !upstream.instance().release().equals(release);
    }

    /** Allows only upstreams in none of the given availability zones. */
    static UpstreamRule outsideZones(Set<String> zones) {
        return (upstream, job, nowNanos) -> !zones.contains(upstream.instance().zone());
    }

    /**
     * Limits the sends of this router that an upstream runs, as each has a connection.
     *
     * @param maxSends this router's share of an upstream's connections
     */
    static UpstreamRule withinConnections(ToIntFunction<UpstreamInstance> maxSends) {
        return (upstream, job, nowNanos) ->
                upstream.runningSends() < maxSends.applyAsInt(upstream.instance());
    }

    /**
     * Limits the requests that this router sends to a cold upstream within a second.
     *
     * @param maxPerSecond this router's share of an upstream's limit while it is cold, in requests
     *     per second
     */
    static UpstreamRule withinColdRate(ToIntFunction<UpstreamInstance> maxPerSecond) {
        return (upstream, job, nowNanos) ->
                !upstream.isCold(nowNanos)
                        || upstream.sendsInLastSecond(nowNanos)
                                < maxPerSecond.applyAsInt(upstream.instance());
    }
}
