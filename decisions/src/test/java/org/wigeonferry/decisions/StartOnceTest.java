package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.TransactionOutcome;

class StartOnceTest {
    private static final String OWN = "agent-1/1";
    private static final String OTHER = "agent-2/1";

    @Test
    void onlyAKnownWriteRunsAtOnce() {
        assertThat(StartOnce.decideAfterWrite(TransactionOutcome.APPLIED))
                .isEqualTo(StartOnceStep.RUN);
        assertThat(StartOnce.decideAfterWrite(TransactionOutcome.REFUSED))
                .isEqualTo(StartOnceStep.READ_BACK);
        assertThat(StartOnce.decideAfterWrite(TransactionOutcome.UNKNOWN))
                .isEqualTo(StartOnceStep.READ_BACK);
    }

    @Test
    void ownRowRuns() {
        assertThat(read(OWN, "d", StartState.STARTED)).isEqualTo(StartOnceStep.RUN);
    }

    @Test
    void rowOfAnotherAttemptDoesNotRun() {
        assertThat(read(OTHER, "d", StartState.STARTED)).isEqualTo(StartOnceStep.REPORT_UNKNOWN);
    }

    @Test
    void finishedRowGivesItsAnswer() {
        assertThat(read(OTHER, "d", StartState.FINISHED)).isEqualTo(StartOnceStep.RETURN_STORED);
    }

    @Test
    void abandonedRowIsTakenOver() {
        assertThat(read(OTHER, "d", StartState.ABANDONED)).isEqualTo(StartOnceStep.TAKE_OVER);
    }

    @Test
    void otherBodyUnderTheSameKeyIsAConflict() {
        assertThat(read(OTHER, "x", StartState.FINISHED)).isEqualTo(StartOnceStep.REPORT_CONFLICT);
    }

    @Test
    void absentRowIsInsertedAgain() {
        assertThat(StartOnce.decideAfterRead(Optional.empty(), OWN, "d"))
                .isEqualTo(StartOnceStep.INSERT_AGAIN);
    }

    private static StartOnceStep read(String token, String digest, StartState state) {
        StartRow row = new StartRow(digest, token, state, Optional.empty());
        return StartOnce.decideAfterRead(Optional.of(row), OWN, "d");
    }
}
