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
 * Writes bills to the table service in batches, each bill only if absent.
 *
 * <p>State is touched on the control thread only. Thread safe.
 */
final class BillWriter {
    private static final int MAX_BATCH = 256;
    private static final int MAX_TRIES = 5;
    private static final Duration FLUSH_PAUSE = Duration.ofMillis(50);

    private final ControlExecutor control;
    private final BillLedger ledger;
    private final TableService table;
    private final NodeMetrics metrics;
    private final Consumer<List<String>> onDurable;

    BillWriter(
            ControlExecutor control,
            BillLedger ledger,
            TableService table,
            NodeMetrics metrics,
            Consumer<List<String>> onDurable) {
        this.control = control;
        this.ledger = ledger;
        this.table = table;
        this.metrics = metrics;
        this.onDurable = onDurable;
    }

    /** Writes the next batch; call on the control thread. */
    void writeNextBatch() {
        List<Bill> batch = ledger.claimNextBatch(MAX_BATCH);
        if (batch.isEmpty()) {
            return;
        }
        List<RowPut> rows = batch.stream().map(BillCodec::toRow).toList();
        table.transact(TableTransaction.insert(rows))
                .thenAccept(result -> control.execute(() -> onBatch(batch, result)));
    }

    /** Writes one bill now; false if the store gave no answer. */
    CompletableFuture<Boolean> writeSingle(Bill bill) {
        return writeSingle(bill, MAX_TRIES);
    }

    /** Completes once no bill is pending; writes batch after batch until then. */
    CompletableFuture<Boolean> flush() {
        CompletableFuture<Boolean> flushed = new CompletableFuture<>();
        control.execute(() -> flush(flushed));
        return flushed;
    }

    private void flush(CompletableFuture<Boolean> flushed) {
        if (ledger.pendingCount() == 0) {
            flushed.complete(true);
            return;
        }
        writeNextBatch();
        control.schedule(FLUSH_PAUSE, () -> flush(flushed));
    }

    private CompletableFuture<Boolean> writeSingle(Bill bill, int triesLeft) {
        return table.transact(TableTransaction.insert(List.of(BillCodec.toRow(bill))))
                .thenCompose(
                        result -> {
                            if (result.outcome() != TransactionOutcome.UNKNOWN) {
                                return control.submit(() -> noteDurable(List.of(bill.rowKey())));
                            }
                            if (triesLeft == 0) {
                                return CompletableFuture.completedFuture(false);
                            }
                            return writeSingle(bill, triesLeft - 1);
                        });
    }

    private void onBatch(List<Bill> batch, TransactionResult result) {
        metrics.count("bill_batches", "outcome", result.outcome().name());
        List<String> keys = new ArrayList<>(batch.stream().map(Bill::rowKey).toList());
        switch (result.outcome()) {
            case APPLIED -> noteDurable(keys);
            case UNKNOWN -> ledger.onWriteOutcomeUnknown(keys);
            case REFUSED -> {
                keys.removeAll(new HashSet<>(result.failedKeys()));
                ledger.onWriteOutcomeUnknown(keys);
                noteDurable(result.failedKeys());
            }
        }
    }

    private boolean noteDurable(List<String> keys) {
        ledger.onBillsStored(keys);
        onDurable.accept(keys);
        return true;
    }
}
