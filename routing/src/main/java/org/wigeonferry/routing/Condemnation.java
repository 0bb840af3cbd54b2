package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.Set;

/**
 * Why requests with a suspect are refused: the crashes that nothing else explains.
 *
 * <p>Immutable and thread safe.
 *
 * @param crashes number of crashes for which the suspect may be the cause
 * @param equallyLikely the suspects that explain the same crashes, this one included
 */
public record Condemnation(int crashes, Set<String> equallyLikely) {
    /** Crashes from which a suspect is condemned. */
    static final int MIN_CRASHES = 3;

    private static final Duration FIRST_REFUSAL = Duration.ofSeconds(20);
    private static final int MAX_REFUSAL_DOUBLINGS = 3;

    /** One of several equal suspects is probably harmless, so it is tried again soon. */
    private static final Duration AMBIGUOUS_REFUSAL = Duration.ofSeconds(2);

    public Condemnation {
        equallyLikely = Set.copyOf(equallyLikely);
    }

    /**
     * Time after the last crash in which a request with the suspect is always refused. One that
     * holds all equal suspects holds the poison one, whichever that is.
     *
     * @param suspects the condemned suspects of the request
     */
    Duration refusal(Collection<String> suspects) {
        return suspects.containsAll(equallyLikely) ? fullRefusal() : AMBIGUOUS_REFUSAL;
    }

    /**
     * Whether a request with some condemned suspects holds all parts among the equal ones, so that
     * trying it can't tell these apart.
     */
    boolean holdsAllParts(Collection<String> suspects) {
        return Suspects.holdAllParts(suspects, equallyLikely);
    }

    /**
     * Time after the last crash in which only single requests are tried. One that tells equal
     * suspects apart may be tried by any router; others by one router only, so that a suspect that
     * is still poison crashes one more upstream and not one for each router.
     */
    Duration trialEnd() {
        return fullRefusal().multipliedBy(2);
    }

    private Duration fullRefusal() {
        int doublings = Math.min(crashes - MIN_CRASHES, MAX_REFUSAL_DOUBLINGS);
        return FIRST_REFUSAL.multipliedBy(1L << doublings);
    }
}
