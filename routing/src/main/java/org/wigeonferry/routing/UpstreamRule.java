package org.wigeonferry.routing;

/**
 * Decides whether an upstream may get a job now.
 *
 * <p>Implementations are stateless; they are called on the control thread.
 */
@FunctionalInterface
interface UpstreamRule {
    boolean allows(UpstreamState upstream, Job job, long now);

    /** Both rules. */
    default UpstreamRule and(UpstreamRule other) {
        return (upstream, job, now) ->
                allows(upstream, job, now) && other.allows(upstream, job, now);
    }
}
