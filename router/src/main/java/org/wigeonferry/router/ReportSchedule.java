package org.wigeonferry.router;

import java.util.Map;
import org.wigeonferry.routing.PoisonNews;
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

    /** Fewest checks from one report to the next for the first crash of a suspect. */
    private static final int MIN_CHECKS_PER_FIRST_CRASH = 4;

    /**
     * Growth of the number of sends or of timed answers that is reported before the period is over.
     * The precision of a mean depends on the ratio of the counts.
     */
    private static final double REPORTED_GROWTH = 1.5;

    private int checkCount;
    private int checksSinceReport;
    private boolean reportRequested;
    private Map<String, ReleaseEvidence> publishedEvidence = Map.of();

    /** Makes a report due at the next check, as the last one may be lost. */
    void requestReport() {
        reportRequested = true;
    }

    /**
     * Whether a report is due at this check; it then counts as published.
     *
     * <p>It is due if the period has passed, if the evidence of a roll-out shows more failures or
     * notably more requests, or if poison requests may have crashed upstreams: at once if crashes
     * repeat, and soon for a first one, which only counts together with those of other routers. The
     * first check announces this router to the others; later reports keep it from being counted as
     * gone.
     *
     * @param poisonNews what the last report did not tell of poison requests
     * @param evidence evidence of the new releases in running roll-outs, by service
     * @param decisionNear whether a roll-out is decided soon; then all evidence is news
     */
    boolean takeDue(
            PoisonNews poisonNews, Map<String, ReleaseEvidence> evidence, boolean decisionNear) {
        checksSinceReport++;
        boolean crashesAreNews =
                poisonNews == PoisonNews.REPEATED_CRASH
                        || (poisonNews == PoisonNews.FIRST_CRASH
                                && checksSinceReport >= MIN_CHECKS_PER_FIRST_CRASH);
        boolean evidenceChanged =
                checkCount % MIN_CHECKS_PER_CHANGED_REPORT == 0
                        && evidence.entrySet().stream()
                                .anyMatch(
                                        entry ->
                                                isNews(
                                                        entry.getKey(),
                                                        entry.getValue(),
                                                        decisionNear));
        boolean periodPassed = checkCount % CHECKS_PER_PERIODIC_REPORT == 0;
        checkCount++;
        if (!reportRequested && !crashesAreNews && !evidenceChanged && !periodPassed) {
            return false;
        }
        reportRequested = false;
        checksSinceReport = 0;
        publishedEvidence = evidence;
        return true;
    }

    private boolean isNews(String service, ReleaseEvidence evidence, boolean decisionNear) {
        ReleaseEvidence published = publishedEvidence.getOrDefault(service, ReleaseEvidence.NONE);
        return evidence.bad() > published.bad()
                || evidence.sends() > REPORTED_GROWTH * published.sends()
                || evidence.timed() > REPORTED_GROWTH * published.timed()
                || (decisionNear && !evidence.equals(published));
    }
}
