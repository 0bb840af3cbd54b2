package org.wigeonferry.agent;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wigeonferry.core_types.ReadResult;
import org.wigeonferry.core_types.Row;
import org.wigeonferry.core_types.RowPut;
import org.wigeonferry.core_types.TableTransaction;
import org.wigeonferry.core_types.WriteOutcome;
import org.wigeonferry.decisions.StartRow;
import org.wigeonferry.decisions.StartState;
import org.wigeonferry.node_runtime.ControlThread;
import org.wigeonferry.platform_clients.TableService;

/**
 * Marks the rows of attempts that were given up before the hand-over, once the store answers.
 *
 * <p>Until a row is marked, a resend of its call is told that the outcome is unknown, which is
 * safe. Invariant: at most {@link #MAX_PENDING} rows wait. Thread safe; its state is touched on the
 * control thread.
 */
final class Abandonment {
    /** Most rows that wait to be marked. */
    static final int MAX_PENDING = 4096;

    private static final Duration RETRY_PAUSE = Duration.ofSeconds(1);

    private final ControlThread control;
    private final TableService table;
    private final Map<String, StartRow> pending = new HashMap<>();

    Abandonment(ControlThread control, TableService table) {
        this.control = control;
        this.table = table;
    }

    /** Marks the row of an attempt that never will hand its call over. */
    void abandon(String key, String token, String digest) {
        StartRow row = new StartRow(digest, token, StartState.ABANDONED, Optional.empty());
        control.run(
                () -> {
                    if (pending.size() < MAX_PENDING) {
                        pending.put(key, row);
                        settle(key, row);
                    }
                });
    }

    private void settle(String key, StartRow row) {
        table.read(key).thenAccept(read -> control.run(() -> onRead(key, row, read)));
    }

    private void onRead(String key, StartRow row, ReadResult read) {
        if (!read.answered()) {
            control.after(RETRY_PAUSE, () -> settle(key, row));
            return;
        }
        if (read.row().isPresent() && !ownsStarted(read.row().get(), row.token())) {
            pending.remove(key);
            return;
        }
        table.transact(marking(key, row, read.row()))
                .thenAccept(result -> control.run(() -> onWrite(key, row, result.outcome())));
    }

    private void onWrite(String key, StartRow row, WriteOutcome outcome) {
        if (outcome == WriteOutcome.APPLIED) {
            pending.remove(key);
            return;
        }
        control.after(RETRY_PAUSE, () -> settle(key, row));
    }

    private static TableTransaction marking(String key, StartRow row, Optional<Row> present) {
        String text = StartRows.write(row);
        return present.map(read -> TableTransaction.replace(read, text))
                .orElseGet(() -> TableTransaction.insert(List.of(new RowPut(key, text))));
    }

    private static boolean ownsStarted(Row row, String token) {
        StartRow start = StartRows.read(row.value());
        return start.token().equals(token) && start.state() == StartState.STARTED;
    }
}
