package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
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
            reports += schedule.takeDue(Map.of(), evidence(check, 0)) ? 1 : 0;
        }
        assertThat(reports).isBetween(5, 12);
    }

    @Test
    void failureIsReportedWithinTwoChecks() {
        schedule.takeDue(Map.of(), evidence(0, 0));
        schedule.takeDue(Map.of(), evidence(0, 0));
        boolean dueAtFirstCheck = schedule.takeDue(Map.of(), evidence(0, 1));
        boolean dueAtSecondCheck = schedule.takeDue(Map.of(), evidence(0, 1));
        assertThat(dueAtFirstCheck || dueAtSecondCheck).isTrue();
    }

    @Test
    void repeatedLossIsReportedAtOnce() {
        schedule.takeDue(Map.of(), Map.of());
        assertThat(schedule.takeDue(Map.of("digest", 1), Map.of())).isFalse();
        assertThat(schedule.takeDue(Map.of("digest", 2), Map.of())).isTrue();
        assertThat(schedule.takeDue(Map.of("digest", 2), Map.of())).isFalse();
    }

    @Test
    void quietRouterReportsPeriodically() {
        int reports = 0;
        for (int check = 0; check < CHECKS_IN_24_SECONDS; check++) {
            reports += schedule.takeDue(Map.of(), Map.of()) ? 1 : 0;
        }
        assertThat(reports).isEqualTo(4);
    }
}
