package org.wigeonferry.routing;

/**
 * Decides whether a job may be sent to an upstream at a given time.
 *
 * <p>Implementations are stateless; they are called on the control thread.
 */
@FunctionalInterface
interface UpstreamRule {
    boolean allows(UpstreamState upstream, Job job, long nowNanos);

    /** A rule that allows what both rules allow. */
    default UpstreamRule and(UpstreamRule other) {
        return (upstream, job, nowNanos) ->
                allows(upstream, job, nowNanos) && other.allows(upstream, job, nowNanos);
    }
}
