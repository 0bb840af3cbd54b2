package org.wigeonferry.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.ReadResult;
import org.wigeonferry.core_types.Row;
import org.wigeonferry.core_types.RowCondition;
import org.wigeonferry.core_types.RowPut;
import org.wigeonferry.core_types.TableTransaction;
import org.wigeonferry.core_types.TransactionOutcome;
import org.wigeonferry.decisions.Lease;
import org.wigeonferry.decisions.LeaseAction;
import org.wigeonferry.decisions.LeaseTracker;
import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.platform_clients.JsonCalls;
import org.wigeonferry.platform_clients.TableService;

/**
 * Takes and renews a lease row in the table service.
 *
 * <p>State is touched on the control thread only. Thread safe.
 */
final class LeaseKeeper {
    private final ControlExecutor control;
    private final TableService table;
    private final String key;
    private final LeaseTracker view;

    LeaseKeeper(ControlExecutor control, TableService table, String key, LeaseTracker view) {
        this.control = control;
        this.table = table;
        this.key = key;
        this.view = view;
    }

    /**
     * Takes or renews the lease if it may. The result is the condition that a write under the lease
     * must carry; empty if this process does not hold it.
     */
    CompletableFuture<Optional<RowCondition>> tryAcquireOrRenew() {
        return table.read(key)
                .thenCompose(read -> control.submit(() -> onRead(read)).thenCompose(done -> done));
    }

    private CompletableFuture<Optional<RowCondition>> onRead(ReadResult read) {
        if (!read.serviceAnswered()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        Optional<Lease> lease = read.row().map(row -> parse(row.value()));
        long version = read.row().map(Row::version).orElse(0L);
        LeaseAction move = view.onRowRead(lease, version, control.nanoTime());
        if (move == LeaseAction.WAIT) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        String text = write(view.nextLease(move));
        TableTransaction transaction =
                read.row()
                        .map(row -> TableTransaction.replace(row, text))
                        .orElseGet(() -> TableTransaction.insert(List.of(new RowPut(key, text))));
        return table.transact(transaction)
                .thenCompose(
                        result ->
                                result.outcome() == TransactionOutcome.APPLIED
                                        ? condition(text)
                                        : CompletableFuture.completedFuture(Optional.empty()));
    }

    /** Reads the row's version; a row that someone else wrote meanwhile gives none. */
    private CompletableFuture<Optional<RowCondition>> condition(String written) {
        return table.read(key)
                .thenApply(
                        read ->
                                read.row()
                                        .filter(row -> row.value().equals(written))
                                        .map(
                                                row ->
                                                        new RowCondition(
                                                                key, Optional.of(row.version()))));
    }

    private static String write(Lease lease) {
        return JsonCalls.object()
                .put("holder", lease.holder().value())
                .put("epoch", lease.epoch())
                .put("turn", lease.writeCount())
                .toString();
    }

    private static Lease parse(String text) {
        JsonNode json = JsonCalls.parse(text);
        return new Lease(
                new NodeId(json.path("holder").asText()),
                json.path("epoch").asLong(),
                json.path("turn").asLong());
    }
}
