package org.wigeonferry.platform_clients;

import java.util.concurrent.CompletableFuture;
import org.wigeonferry.core_types.ReadResult;
import org.wigeonferry.core_types.ScanResult;
import org.wigeonferry.core_types.TableTransaction;
import org.wigeonferry.core_types.TransactionResult;

/**
 * The platform's transactional table service.
 *
 * <p>The futures never fail: if the service does not answer, the result says so. Implementations
 * are thread safe and never block the caller.
 */
public interface TableService {
    /** Writes rows atomically if all conditions hold; the outcome is unknown without an answer. */
    CompletableFuture<TransactionResult> transact(TableTransaction transaction);

    /** Reads the row with the given key. */
    CompletableFuture<ReadResult> read(String key);

    /**
     * Reads rows in the order of their keys.
     *
     * @param prefix the keys must start with it
     * @param afterKey the keys must be greater; empty for the first page
     * @param limit maximum number of rows
     */
    CompletableFuture<ScanResult> scan(String prefix, String afterKey, int limit);
}
