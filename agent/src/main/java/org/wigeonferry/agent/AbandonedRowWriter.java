package org.wigeonferry.agent;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.wigeonferry.core_types.ReadResult;
import org.wigeonferry.core_types.Row;
import org.wigeonferry.core_types.RowPut;
import org.wigeonferry.core_types.TableTransaction;
import org.wigeonferry.core_types.TransactionOutcome;
import org.wigeonferry.decisions.StartRow;
import org.wigeonferry.decisions.StartState;
import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.platform_clients.TableService;

/**
 * Marks the rows of attempts that were given up before the hand-over, once the store answers.
 *
 * <p>Until a row is marked, a resend of its call is told that the outcome is unknown, which is
 * safe. Invariant: at most {@link #MAX_PENDING} rows wait. Thread safe; its state is touched on the
 * control thread.
 */
final class AbandonedRowWriter {
    /** Most rows that wait to be marked. */
    static final int MAX_PENDING = 4096;

    private static final Duration RETRY_PAUSE = Duration.ofMillis(200);

    private final ControlExecutor control;
    private final TableService table;
    private int pending;

    AbandonedRowWriter(ControlExecutor control, TableService table) {
        this.control = control;
        this.table = table;
    }

    /**
     * Marks the row of an attempt that never will hand its call over.
     *
     * <p>The result is true once the mark is in the table: no attempt had run the call by then. It
     * is false if another attempt's row is there. It comes late while the store is down.
     */
    CompletableFuture<Boolean> markAbandoned(String key, String token, String digest) {
        StartRow row = new StartRow(digest, token, StartState.ABANDONED, Optional.empty());
        CompletableFuture<Boolean> marked = new CompletableFuture<>();
        control.execute(
                () -> {
                    if (pending >= MAX_PENDING) {
                        marked.complete(false);
                        return;
                    }
                    pending++;
                    settle(key, row, marked);
                });
        return marked;
    }

    private void settle(String key, StartRow row, CompletableFuture<Boolean> marked) {
        table.read(key).thenAccept(read -> control.execute(() -> onRead(key, row, read, marked)));
    }

    private void onRead(
            String key, StartRow row, ReadResult read, CompletableFuture<Boolean> marked) {
        if (!read.serviceAnswered()) {
            control.schedule(RETRY_PAUSE, () -> settle(key, row, marked));
            return;
        }
        Optional<StartRow> present = read.row().map(r -> StartRows.fromJson(r.value()));
        if (present.filter(row::equals).isPresent()) {
            finish(marked, true);
            return;
        }
        if (present.filter(start -> !ownsStarted(start, row.attemptToken())).isPresent()) {
            finish(marked, false);
            return;
        }
        table.transact(marking(key, row, read.row()))
                .thenAccept(
                        result ->
                                control.execute(() -> onWrite(key, row, result.outcome(), marked)));
    }

    private void onWrite(
            String key,
            StartRow row,
            TransactionOutcome outcome,
            CompletableFuture<Boolean> marked) {
        if (outcome == TransactionOutcome.APPLIED) {
            finish(marked, true);
            return;
        }
        control.schedule(RETRY_PAUSE, () -> settle(key, row, marked));
    }

    private void finish(CompletableFuture<Boolean> marked, boolean result) {
        pending--;
        marked.complete(result);
    }

    private static TableTransaction marking(String key, StartRow row, Optional<Row> present) {
        String text = StartRows.toJson(row);
        return present.map(read -> TableTransaction.replace(read, text))
                .orElseGet(() -> TableTransaction.insert(List.of(new RowPut(key, text))));
    }

    private static boolean ownsStarted(StartRow start, String token) {
        return start.attemptToken().equals(token) && start.state() == StartState.STARTED;
    }
}
