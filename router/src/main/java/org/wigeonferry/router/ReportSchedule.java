package org.wigeonferry.router;

import java.util.Map;
import org.wigeonferry.routing.ReleaseEvidence;

/**
 * Decides when this router publishes its report.
 *
 * <p>Each report is a call to the store and wakes the polls of all routers, so that unrestricted
 * reports grow with the square of the number of routers. Owned by the control thread.
 */
final class ReportSchedule {
    /** Checks from one report to the next if nothing has changed. */
    private static final int CHECKS_PER_PERIODIC_REPORT = 12;

    /** Fewest checks from one report to the next if the evidence of a roll-out has changed. */
    private static final int MIN_CHECKS_PER_CHANGED_REPORT = 2;

    /**
     * Growth of the number of timed answers that is reported before the period is over. The
     * precision of a mean depends on the ratio of the counts.
     */
    private static final double REPORTED_GROWTH = 1.5;

    private int checkCount;
    private Map<String, Integer> publishedLossCounts = Map.of();
    private Map<String, ReleaseEvidence> publishedEvidence = Map.of();

    /**
     * Whether a report is due at this check; it then counts as published.
     *
     * <p>It is due if the period has passed, if the evidence of a roll-out shows more failures or
     * notably more answers, or, at once, if a request digest has caused more than one connection
     * loss. The first check announces this router to the others; later reports keep it from being
     * counted as gone.
     *
     * @param lossCounts connection losses by request digest
     * @param evidence evidence of the new releases in running roll-outs, by service
     */
    boolean takeDue(Map<String, Integer> lossCounts, Map<String, ReleaseEvidence> evidence) {
        boolean repeatedLoss =
                !lossCounts.equals(publishedLossCounts)
                        && lossCounts.values().stream().anyMatch(losses -> losses > 1);
        boolean evidenceChanged =
                checkCount % MIN_CHECKS_PER_CHANGED_REPORT == 0
                        && evidence.entrySet().stream()
                                .anyMatch(entry -> isNews(entry.getKey(), entry.getValue()));
        boolean periodPassed = checkCount % CHECKS_PER_PERIODIC_REPORT == 0;
        checkCount++;
        if (!repeatedLoss && !evidenceChanged && !periodPassed) {
            return false;
        }
        publishedLossCounts = lossCounts;
        publishedEvidence = evidence;
        return true;
    }

    private boolean isNews(String service, ReleaseEvidence evidence) {
        ReleaseEvidence published = publishedEvidence.getOrDefault(service, ReleaseEvidence.NONE);
        return evidence.bad() > published.bad()
                || evidence.timed() > REPORTED_GROWTH * published.timed();
    }
}
