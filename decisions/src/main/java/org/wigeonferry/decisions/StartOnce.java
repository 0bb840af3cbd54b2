package org.wigeonferry.decisions;

import java.util.Optional;
import org.wigeonferry.core_types.TransactionOutcome;

/**
 * Decides whether a call that may not be repeated is handed over.
 *
 * <p>A call is handed over only by the attempt whose token stands in its row. A token belongs to
 * one attempt of one agent process, so a row with that token, however late its insert took effect,
 * lets exactly that attempt run. Stateless and thread safe.
 */
public final class StartOnce {
    private StartOnce() {}

    /** Decides after an attempt to write the row. */
    public static StartOnceStep decideAfterWrite(TransactionOutcome outcome) {
        return switch (outcome) {
            case APPLIED -> StartOnceStep.RUN;
            case REFUSED, UNKNOWN -> StartOnceStep.READ_BACK;
        };
    }

    /** Decides after the row was read. */
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
        boolean own = row.get().attemptToken().equals(token);
        return own ? StartOnceStep.RUN : StartOnceStep.REPORT_UNKNOWN;
    }
}
