package org.wigeonferry.entry;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.wigeonferry.core_types.ReadResult;
import org.wigeonferry.core_types.ScanResult;
import org.wigeonferry.core_types.TableTransaction;
import org.wigeonferry.core_types.TransactionResult;
import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.platform_clients.TableService;

/** A table service that never answers: transactions end as unknown, reads and scans not at all. */
final class UnresponsiveTable implements TableService {
    private static final Duration TRANSACTION_TIMEOUT = Duration.ofMillis(100);

    private final ControlExecutor control;

    UnresponsiveTable(ControlExecutor control) {
        this.control = control;
    }

    @Override
    public CompletableFuture<TransactionResult> transact(TableTransaction transaction) {
        CompletableFuture<TransactionResult> result = new CompletableFuture<>();
        control.schedule(TRANSACTION_TIMEOUT, () -> result.complete(TransactionResult.UNANSWERED));
        return result;
    }

    @Override
    public CompletableFuture<ReadResult> read(String key) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<ScanResult> scan(String prefix, String afterKey, int limit) {
        return new CompletableFuture<>();
    }
}
