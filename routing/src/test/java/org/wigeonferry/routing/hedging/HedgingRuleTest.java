package org.wigeonferry.routing.hedging;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against hedged sends that come too early, can't help, or add load to an overload. */
class HedgingRuleTest {
    private static final Duration OBJECTIVE = Duration.ofMillis(1000);
    private static final ServiceLoad CALM = load(200, 50);

    private final HedgingRule rule = new HedgingRule(0.1);

    private static ServiceLoad load(int longMillis, int typicalMillis) {
        return new ServiceLoad(
                Duration.ofMillis(longMillis),
                Duration.ofMillis(typicalMillis),
                false,
                true,
                false,
                100,
                0);
    }

    private static PendingSend waiting(int millis) {
        return pending(millis, 3000, false, Duration.ZERO);
    }

    private static PendingSend pending(
            int waitedMillis, int leftMillis, boolean mayNeedAnotherRun, Duration timeHedged) {
        return new PendingSend(
                Duration.ofMillis(waitedMillis),
                Duration.ofMillis(100),
                OBJECTIVE,
                Duration.ofMillis(leftMillis),
                1,
                2,
                mayNeedAnotherRun,
                timeHedged);
    }

    private static HedgeDecision refused(NoHedgeCause cause) {
        return new NoHedge(cause);
    }

    @Test
    void waitsForAsLongAsNearlyAllSendsNeedAndForTheOwnPrompt() {
        assertThat(rule.decide(waiting(250), CALM))
                .isEqualTo(new HedgeLater(Duration.ofMillis(50)));
        assertThat(rule.decide(waiting(300), CALM)).isEqualTo(new HedgeNow());
    }

    @Test
    void withoutAShareNothingIsHedged() {
        HedgingRule off = new HedgingRule(0);
        assertThat(off.decide(waiting(300), CALM)).isEqualTo(refused(NoHedgeCause.DISABLED));
    }

    @Test
    void hedgeThatCanNotMeetTheObjectiveIsNotSent() {
        assertThat(rule.decide(waiting(850), CALM)).isEqualTo(new HedgeNow());
        assertThat(rule.decide(waiting(851), CALM)).isEqualTo(refused(NoHedgeCause.TOO_LATE));
    }

    @Test
    void hedgeThatCanNotMeetTheDeadlineIsNotSent() {
        assertThat(rule.decide(pending(300, 149, false, Duration.ZERO), CALM))
                .isEqualTo(refused(NoHedgeCause.TOO_LATE));
    }

    /** In an overload all sends are slow, so that a second one would be slow as well. */
    @Test
    void serviceWhoseSendsAreAllSlowIsNotHedged() {
        assertThat(rule.decide(waiting(700), load(600, 500)))
                .isEqualTo(refused(NoHedgeCause.TOO_LATE));
    }

    @Test
    void requestsThatWaitAndAnEmptyRetryBudgetStopHedging() {
        Duration longWait = CALM.longWait();
        Duration typical = CALM.typicalWait();
        assertThat(
                        rule.decide(
                                waiting(300),
                                new ServiceLoad(longWait, typical, true, true, false, 100, 0)))
                .isEqualTo(refused(NoHedgeCause.OVERLOADED));
        assertThat(
                        rule.decide(
                                waiting(300),
                                new ServiceLoad(longWait, typical, false, false, false, 100, 0)))
                .isEqualTo(refused(NoHedgeCause.OVERLOADED));
    }

    @Test
    void shareOfTheFirstSendsIsNotExceeded() {
        Duration longWait = CALM.longWait();
        Duration typical = CALM.typicalWait();
        assertThat(
                        rule.decide(
                                waiting(300),
                                new ServiceLoad(longWait, typical, false, true, false, 100, 9)))
                .isEqualTo(new HedgeNow());
        assertThat(
                        rule.decide(
                                waiting(300),
                                new ServiceLoad(longWait, typical, false, true, false, 100, 10)))
                .isEqualTo(refused(NoHedgeCause.SHARE_USED));
    }

    /** A stream that breaks off needs a run to go on; the hedged send must not take it. */
    @Test
    void lastRunIsKeptForAResponseThatMayNeedIt() {
        assertThat(rule.decide(pending(300, 3000, true, Duration.ZERO), CALM))
                .isEqualTo(refused(NoHedgeCause.NO_RUN_LEFT));
    }

    @Test
    void rollOutKeepsItsEvidence() {
        ServiceLoad rollOut =
                new ServiceLoad(CALM.longWait(), CALM.typicalWait(), false, true, true, 100, 0);
        assertThat(rule.decide(waiting(300), rollOut)).isEqualTo(refused(NoHedgeCause.ROLL_OUT));
    }

    /** Hedged sends that always win would keep an upstream in use that answers nothing. */
    @Test
    void upstreamThatAnswersNothingIsLeftToTheRulesOnSilence() {
        assertThat(rule.decide(pending(300, 3000, false, Duration.ofMillis(600)), CALM))
                .isEqualTo(new HedgeNow());
        assertThat(rule.decide(pending(300, 3000, false, Duration.ofMillis(2001)), CALM))
                .isEqualTo(refused(NoHedgeCause.UPSTREAM_SILENT));
    }
}
