package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.TransactionOutcome;

class StartOnceTest {
    private static final String OWN_TOKEN = "agent-1/1";
    private static final String OTHER_TOKEN = "agent-2/1";

    @Test
    void onlyAnAppliedWriteLetsTheCallRunWithoutARead() {
        assertThat(StartOnce.decideAfterWrite(TransactionOutcome.APPLIED))
                .isEqualTo(StartOnceStep.RUN);
        assertThat(StartOnce.decideAfterWrite(TransactionOutcome.REFUSED))
                .isEqualTo(StartOnceStep.READ_BACK);
        assertThat(StartOnce.decideAfterWrite(TransactionOutcome.UNKNOWN))
                .isEqualTo(StartOnceStep.READ_BACK);
    }

    @Test
    void rowOfThisAttemptLetsTheCallRun() {
        assertThat(decideAfterRead(OWN_TOKEN, "d", StartState.STARTED))
                .isEqualTo(StartOnceStep.RUN);
    }

    @Test
    void startedRowOfAnotherAttemptIsReportedAsUnknown() {
        assertThat(decideAfterRead(OTHER_TOKEN, "d", StartState.STARTED))
                .isEqualTo(StartOnceStep.REPORT_UNKNOWN);
    }

    @Test
    void finishedRowReturnsTheStoredAnswer() {
        assertThat(decideAfterRead(OTHER_TOKEN, "d", StartState.FINISHED))
                .isEqualTo(StartOnceStep.RETURN_STORED);
    }

    @Test
    void abandonedRowIsTakenOver() {
        assertThat(decideAfterRead(OTHER_TOKEN, "d", StartState.ABANDONED))
                .isEqualTo(StartOnceStep.TAKE_OVER);
    }

    @Test
    void otherBodyUnderTheSameKeyIsAConflict() {
        assertThat(decideAfterRead(OTHER_TOKEN, "x", StartState.FINISHED))
                .isEqualTo(StartOnceStep.REPORT_CONFLICT);
    }

    @Test
    void absentRowIsInsertedAgain() {
        assertThat(StartOnce.decideAfterRead(Optional.empty(), OWN_TOKEN, "d"))
                .isEqualTo(StartOnceStep.INSERT_AGAIN);
    }

    private static StartOnceStep decideAfterRead(String token, String digest, StartState state) {
        StartRow row = new StartRow(digest, token, state, Optional.empty());
        return StartOnce.decideAfterRead(Optional.of(row), OWN_TOKEN, "d");
    }
}
