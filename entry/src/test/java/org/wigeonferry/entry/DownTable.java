package org.wigeonferry.entry;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.wigeonferry.core_types.ReadResult;
import org.wigeonferry.core_types.ScanResult;
import org.wigeonferry.core_types.TableTransaction;
import org.wigeonferry.core_types.TransactionResult;
import org.wigeonferry.node_runtime.Control;
import org.wigeonferry.platform_clients.TableService;

/** A table service that gives no answer. */
final class DownTable implements TableService {
    private static final Duration TIMEOUT = Duration.ofMillis(100);

    private final Control control;

    DownTable(Control control) {
        this.control = control;
    }

    @Override
    public CompletableFuture<TransactionResult> transact(TableTransaction transaction) {
        CompletableFuture<TransactionResult> result = new CompletableFuture<>();
        control.after(TIMEOUT, () -> result.complete(TransactionResult.UNKNOWN));
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
