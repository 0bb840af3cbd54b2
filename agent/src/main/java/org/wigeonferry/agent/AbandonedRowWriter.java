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
 * Writes the state {@code ABANDONED} into the start rows of attempts that ended before their call
 * was sent to the service. Retries until the table service answers.
 *
 * <p>Until then, a retry of the call with the same idempotency key may get an unknown outcome,
 * which is safe. Invariant: at most {@link #MAX_PENDING_ROWS} rows wait for their write. Thread
 * safe; its state is touched on the control thread.
 */
final class AbandonedRowWriter {
    /** Maximum number of rows that wait for their write; further ones are not written. */
    static final int MAX_PENDING_ROWS = 4096;

    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    private final ControlExecutor control;
    private final TableService table;
    private int pendingRows;

    AbandonedRowWriter(ControlExecutor control, TableService table) {
        this.control = control;
        this.table = table;
    }

    /**
     * Marks the start row of an attempt that will never send its call to the service.
     *
     * <p>The result is true once the row is stored as abandoned, which shows that no attempt had
     * started the call by then. It is false if the row belongs to another attempt, or if {@link
     * #MAX_PENDING_ROWS} rows are waiting already. While the table service does not answer, the
     * write is retried without a limit and the result is not completed.
     */
    CompletableFuture<Boolean> markAbandoned(String key, String attemptToken, String digest) {
        StartRow row = new StartRow(digest, attemptToken, StartState.ABANDONED, Optional.empty());
        CompletableFuture<Boolean> marked = new CompletableFuture<>();
        control.execute(
                () -> {
                    if (pendingRows >= MAX_PENDING_ROWS) {
                        marked.complete(false);
                        return;
                    }
                    pendingRows++;
                    readAndMark(key, row, marked);
                });
        return marked;
    }

    /** Reads the row first: the mark may be in it already, or it may be another attempt's. */
    private void readAndMark(String key, StartRow row, CompletableFuture<Boolean> marked) {
        table.read(key).thenAccept(read -> control.execute(() -> onRead(key, row, read, marked)));
    }

    private void onRead(
            String key, StartRow row, ReadResult read, CompletableFuture<Boolean> marked) {
        if (!read.serviceAnswered()) {
            control.schedule(RETRY_DELAY, () -> readAndMark(key, row, marked));
            return;
        }
        Optional<StartRow> startRow = read.row().map(r -> StartRows.fromJson(r.value()));
        if (startRow.filter(row::equals).isPresent()) {
            completeMark(marked, true);
            return;
        }
        if (startRow.filter(start -> !isOwnStartedRow(start, row.attemptToken())).isPresent()) {
            completeMark(marked, false);
            return;
        }
        table.transact(markTransaction(key, row, read.row()))
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
            completeMark(marked, true);
            return;
        }
        control.schedule(RETRY_DELAY, () -> readAndMark(key, row, marked));
    }

    private void completeMark(CompletableFuture<Boolean> marked, boolean result) {
        pendingRows--;
        marked.complete(result);
    }

    private static TableTransaction markTransaction(
            String key, StartRow row, Optional<Row> existing) {
        String text = StartRows.toJson(row);
        return existing.map(read -> TableTransaction.replace(read, text))
                .orElseGet(() -> TableTransaction.insert(List.of(new RowPut(key, text))));
    }

    private static boolean isOwnStartedRow(StartRow start, String attemptToken) {
        return start.attemptToken().equals(attemptToken) && start.state() == StartState.STARTED;
    }
}
