package org.wigeonferry.decisions;

import java.util.Optional;
import org.wigeonferry.core_types.TransactionOutcome;

/**
 * Decides whether an agent sends to its service a call that must not be repeated.
 *
 * <p>Only the attempt whose token is in the call's row of the table service sends the call. A token
 * belongs to one attempt of one agent process, so a row with that token lets exactly that attempt
 * run, no matter how late the insert of the row took effect. Stateless and thread safe.
 */
public final class StartOnce {
    private StartOnce() {}

    /** Decides the next step after a write of the row. */
    public static StartOnceStep decideAfterWrite(TransactionOutcome outcome) {
        return switch (outcome) {
            case APPLIED -> StartOnceStep.RUN;
            case REFUSED, UNKNOWN -> StartOnceStep.READ_BACK;
        };
    }

    /** Decides the next step of the attempt with this token and digest after a read of the row. */
    public static StartOnceStep decideAfterRead(
            Optional<StartRow> row, String token, String digest) {
        if (row.isEmpty()) {
            return StartOnceStep.INSERT_AGAIN;
        }
        if (!row.get().digest().equals(digest)) {
            return StartOnceStep.REPORT_CONFLICT;
        }
        if (row.get().state() == StartState.FINISHED) {
            return StartOnceStep.RETURN_STORED;
        }
        if (row.get().state() == StartState.ABANDONED) {
            return StartOnceStep.TAKE_OVER;
        }
        boolean ownRow = row.get().attemptToken().equals(token);
        return ownRow ? StartOnceStep.RUN : StartOnceStep.REPORT_UNKNOWN;
    }
}
