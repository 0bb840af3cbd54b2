package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.wigeonferry.routing.PoisonNews;
import org.wigeonferry.routing.ReleaseEvidence;

class ReportScheduleTest {
    private static final int CHECKS_IN_24_SECONDS = 48;

    private final ReportSchedule schedule = new ReportSchedule();

    private static Map<String, ReleaseEvidence> evidence(long good, long bad) {
        return Map.of("model", new ReleaseEvidence(good + bad, good, bad, good, 0, 0, 0));
    }

    /**
     * The load of a roll-out at many routers: each sees a good answer of the new release a check.
     */
    @Test
    void goodAnswersAreReportedByTheirGrowth() {
        int reports = 0;
        for (int check = 0; check < CHECKS_IN_24_SECONDS; check++) {
            reports += schedule.takeDue(PoisonNews.NONE, evidence(check, 0), false) ? 1 : 0;
        }
        assertThat(reports).isBetween(5, 12);
    }

    @Test
    void failureIsReportedWithinTwoChecks() {
        schedule.takeDue(PoisonNews.NONE, evidence(0, 0), false);
        schedule.takeDue(PoisonNews.NONE, evidence(0, 0), false);
        boolean dueAtFirstCheck = schedule.takeDue(PoisonNews.NONE, evidence(0, 1), false);
        boolean dueAtSecondCheck = schedule.takeDue(PoisonNews.NONE, evidence(0, 1), false);
        assertThat(dueAtFirstCheck || dueAtSecondCheck).isTrue();
    }

    /** What a decision misses could be what tells a sound release. */
    @Test
    void anyAnswerIsReportedWithinTwoChecksBeforeADecision() {
        schedule.takeDue(PoisonNews.NONE, evidence(20, 0), true);
        schedule.takeDue(PoisonNews.NONE, evidence(20, 0), true);
        boolean dueAtFirstCheck = schedule.takeDue(PoisonNews.NONE, evidence(21, 0), true);
        boolean dueAtSecondCheck = schedule.takeDue(PoisonNews.NONE, evidence(21, 0), true);
        assertThat(dueAtFirstCheck || dueAtSecondCheck).isTrue();
    }

    @Test
    void repeatedCrashIsReportedAtOnce() {
        schedule.takeDue(PoisonNews.NONE, Map.of(), false);
        assertThat(schedule.takeDue(PoisonNews.FIRST_CRASH, Map.of(), false)).isFalse();
        assertThat(schedule.takeDue(PoisonNews.REPEATED_CRASH, Map.of(), false)).isTrue();
        assertThat(schedule.takeDue(PoisonNews.NONE, Map.of(), false)).isFalse();
    }

    /** Each router may see only one crash of a poison request; two seconds are four checks. */
    @Test
    void firstCrashIsReportedWithinTwoSeconds() {
        schedule.takeDue(PoisonNews.NONE, Map.of(), false);
        boolean due = false;
        for (int check = 0; check < 4; check++) {
            due |= schedule.takeDue(PoisonNews.FIRST_CRASH, Map.of(), false);
        }
        assertThat(due).isTrue();
    }

    @Test
    void quietRouterReportsPeriodically() {
        int reports = 0;
        for (int check = 0; check < CHECKS_IN_24_SECONDS; check++) {
            reports += schedule.takeDue(PoisonNews.NONE, Map.of(), false) ? 1 : 0;
        }
        assertThat(reports).isEqualTo(4);
    }
}
