package org.wigeonferry.platform_clients;

import java.util.concurrent.CompletableFuture;
import org.wigeonferry.core_types.ReadResult;
import org.wigeonferry.core_types.ScanResult;
import org.wigeonferry.core_types.TableTransaction;
import org.wigeonferry.core_types.TransactionResult;

/**
 * The platform's transactional table service.
 *
 * <p>A missing answer is a result, not a failure: the futures complete normally. Implementations
 * are thread safe and never block the caller.
 */
public interface TableService {
    /** Writes rows on conditions; an outcome may be unknown. */
    CompletableFuture<TransactionResult> transact(TableTransaction transaction);

    /** Reads one row. */
    CompletableFuture<ReadResult> read(String key);

    /** Reads at most {@code limit} rows whose keys start with the prefix, after a key. */
    CompletableFuture<ScanResult> scan(String prefix, String afterKey, int limit);
}
