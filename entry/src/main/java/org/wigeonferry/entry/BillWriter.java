package org.wigeonferry.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.wigeonferry.core_types.Bill;
import org.wigeonferry.core_types.RowPut;
import org.wigeonferry.core_types.TableTransaction;
import org.wigeonferry.core_types.TransactionOutcome;
import org.wigeonferry.core_types.TransactionResult;
import org.wigeonferry.decisions.BillLedger;
import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.node_runtime.NodeMetrics;
import org.wigeonferry.platform_clients.TableService;

/**
 * Writes bills to the table service, in batches or one by one; a bill is inserted only if absent.
 *
 * <p>Thread safe; state is accessed on the control thread only.
 */
final class BillWriter {
    private static final int MAX_BILLS_PER_BATCH = 256;
    private static final int MAX_SINGLE_WRITE_RETRIES = 5;
    private static final Duration PAUSE_BETWEEN_FLUSH_BATCHES = Duration.ofMillis(50);

    private final ControlExecutor control;
    private final BillLedger ledger;
    private final TableService table;
    private final NodeMetrics metrics;
    private final Consumer<List<String>> onBillsDurable;

    BillWriter(
            ControlExecutor control,
            BillLedger ledger,
            TableService table,
            NodeMetrics metrics,
            Consumer<List<String>> onBillsDurable) {
        this.control = control;
        this.ledger = ledger;
        this.table = table;
        this.metrics = metrics;
        this.onBillsDurable = onBillsDurable;
    }

    /** Writes the next batch of pending bills; call on the control thread. */
    void writeNextBatch() {
        List<Bill> batch = ledger.claimNextBatch(MAX_BILLS_PER_BATCH);
        if (batch.isEmpty()) {
            return;
        }
        List<RowPut> rows = batch.stream().map(BillCodec::toRow).toList();
        table.transact(TableTransaction.insert(rows))
                .thenAccept(result -> control.execute(() -> onBatchResult(batch, result)));
    }

    /**
     * Writes one bill immediately; a bill that is already stored counts as written. False if the
     * outcome is still unknown after all retries because the table service did not answer.
     */
    CompletableFuture<Boolean> writeSingle(Bill bill) {
        return writeSingle(bill, MAX_SINGLE_WRITE_RETRIES);
    }

    /** Writes batches until no bill is pending, and then completes with true. */
    CompletableFuture<Boolean> flush() {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        control.execute(() -> flushNextBatch(done));
        return done;
    }

    private void flushNextBatch(CompletableFuture<Boolean> done) {
        if (ledger.pendingCount() == 0) {
            done.complete(true);
            return;
        }
        writeNextBatch();
        control.schedule(PAUSE_BETWEEN_FLUSH_BATCHES, () -> flushNextBatch(done));
    }

    private CompletableFuture<Boolean> writeSingle(Bill bill, int retriesLeft) {
        return table.transact(TableTransaction.insert(List.of(BillCodec.toRow(bill))))
                .thenCompose(
                        result -> {
                            if (result.outcome() != TransactionOutcome.UNKNOWN) {
                                return control.submit(() -> markDurable(List.of(bill.rowKey())));
                            }
                            if (retriesLeft == 0) {
                                return CompletableFuture.completedFuture(false);
                            }
                            return writeSingle(bill, retriesLeft - 1);
                        });
    }

    private void onBatchResult(List<Bill> batch, TransactionResult result) {
        metrics.count("bill_batches", "outcome", result.outcome().name());
        List<String> keys = new ArrayList<>(batch.stream().map(Bill::rowKey).toList());
        switch (result.outcome()) {
            case APPLIED -> markDurable(keys);
            case UNKNOWN -> ledger.onWriteOutcomeUnknown(keys);
            case REFUSED -> {
                // Rows that exist already are durable and made the batch fail; the others are
                // released for another batch.
                keys.removeAll(new HashSet<>(result.failedKeys()));
                ledger.onWriteOutcomeUnknown(keys);
                markDurable(result.failedKeys());
            }
        }
    }

    private boolean markDurable(List<String> keys) {
        ledger.onBillsStored(keys);
        onBillsDurable.accept(keys);
        return true;
    }
}
