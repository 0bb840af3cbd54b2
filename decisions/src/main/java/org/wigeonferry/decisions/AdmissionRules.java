package org.wigeonferry.decisions;

import java.util.List;
import org.wigeonferry.core_types.AdmissionRule;

/**
 * Lists the rules that an agent evaluates before it starts an attempt.
 *
 * <p>Stateless and thread safe.
 */
public final class AdmissionRules {
    private AdmissionRules() {}

    /**
     * Returns all rules in the order of evaluation. The first rule that refuses determines the
     * reason that the sender sees.
     */
    public static List<AdmissionRule> all() {
        return List.of(
                RevisionBehind.rule(),
                ConfigStale.rule(),
                ProcessStopping.rule(),
                DeadlinePassed.rule(),
                TargetNotAllowed.rule(),
                VersionWithdrawn.rule(),
                TargetNotServed.rule(),
                ZoneDisabled.rule(),
                UpstreamDraining.rule(),
                PoisonRequest.rule(),
                SecondSuspectedRequest.rule(),
                LimitReached.rule());
    }
}
