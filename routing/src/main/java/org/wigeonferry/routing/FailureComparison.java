package org.wigeonferry.routing;

/**
 * Compares the failures of two releases by a likelihood ratio.
 *
 * <p>Answers are compared within groups: first attempts by kind of request, and repeats. Kinds
 * differ much in how often their requests fail by themselves, and a request that has failed once
 * fails more often again, so a sum over them would hide the failures of a release. Stateless and
 * thread safe.
 */
final class FailureComparison {
    /** The least additional failure share that a release has to be free of. */
    private static final double MIN_ADDED_FAILURE_SHARE = 0.12;

    /** Single failures happen with any release, also if the old one has shown none lately. */
    private static final double MIN_USUAL_FAILURE_SHARE = 0.01;

    /** Added to the failures and to the successes of the old release, so that no share is zero. */
    private static final double PRIOR_ANSWERS = 0.5;

    private FailureComparison() {}

    /**
     * Logarithm of how much more likely the new release's answers are if it fails {@link
     * #MIN_ADDED_FAILURE_SHARE} of the requests that the old one answers, than if it fails as often
     * as the old one.
     */
    static double logLikelihoodRatio(RollOutEvidence evidence) {
        ReleaseEvidence fresh = evidence.fresh();
        ReleaseEvidence old = evidence.old();
        double sum = logLikelihoodRatio(fresh.repeats(), old.repeats());
        for (RequestKind kind : fresh.firstAttempts().keySet()) {
            sum += logLikelihoodRatio(fresh.firstAttempts(kind), old.firstAttempts(kind));
        }
        return sum;
    }

    private static double logLikelihoodRatio(AnswerCounts fresh, AnswerCounts old) {
        double oldShare =
                (old.bad() + PRIOR_ANSWERS) / (old.good() + old.bad() + 2 * PRIOR_ANSWERS);
        double usualShare = Math.max(MIN_USUAL_FAILURE_SHARE, oldShare);
        double raisedShare = usualShare + (1 - usualShare) * MIN_ADDED_FAILURE_SHARE;
        return fresh.bad() * Math.log(raisedShare / usualShare)
                + fresh.good() * Math.log((1 - raisedShare) / (1 - usualShare));
    }
}
