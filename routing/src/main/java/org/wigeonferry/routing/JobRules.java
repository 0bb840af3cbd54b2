package org.wigeonferry.routing;

import java.util.List;

/**
 * Supplies the rules for a job's upstream in order of preference; a rule applies only if no
 * upstream meets an earlier one.
 *
 * <p>Called on the control thread.
 */
@FunctionalInterface
interface JobRules {
    List<UpstreamRule> rulesFor(Job job, long nowNanos);
}
