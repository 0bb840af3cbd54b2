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
import org.wigeonferry.platform_clients.JsonHttpClient;
import org.wigeonferry.platform_clients.TableService;

/**
 * Takes and renews a lease, which is a row of the table service.
 *
 * <p>Thread safe; state is accessed on the control thread only.
 */
final class LeaseKeeper {
    private final ControlExecutor control;
    private final TableService table;
    private final String leaseKey;
    private final LeaseTracker tracker;

    LeaseKeeper(
            ControlExecutor control, TableService table, String leaseKey, LeaseTracker tracker) {
        this.control = control;
        this.table = table;
        this.leaseKey = leaseKey;
        this.tracker = tracker;
    }

    /**
     * Takes the lease if it is free or has expired, or renews it if this process has it. The result
     * is the condition that each write under the lease must carry; empty if this process does not
     * have the lease or the table service did not answer.
     */
    CompletableFuture<Optional<RowCondition>> tryAcquireOrRenew() {
        return table.read(leaseKey)
                .thenCompose(read -> control.submit(() -> onRead(read)).thenCompose(done -> done));
    }

    private CompletableFuture<Optional<RowCondition>> onRead(ReadResult read) {
        if (!read.serviceAnswered()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        Optional<Lease> lease = read.row().map(row -> parse(row.value()));
        long version = read.row().map(Row::version).orElse(0L);
        LeaseAction action = tracker.onRowRead(lease, version, control.nanoTime());
        if (action == LeaseAction.WAIT) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        String text = toJson(tracker.nextLease(action));
        TableTransaction transaction =
                read.row()
                        .map(row -> TableTransaction.replace(row, text))
                        .orElseGet(
                                () -> TableTransaction.insert(List.of(new RowPut(leaseKey, text))));
        return table.transact(transaction)
                .thenCompose(
                        result ->
                                result.outcome() == TransactionOutcome.APPLIED
                                        ? readLeaseCondition(text)
                                        : CompletableFuture.completedFuture(Optional.empty()));
    }

    /**
     * Returns the condition that the lease row still has the version that was just written; empty
     * if another process has written the row in the meantime.
     */
    private CompletableFuture<Optional<RowCondition>> readLeaseCondition(String writtenText) {
        return table.read(leaseKey)
                .thenApply(
                        read ->
                                read.row()
                                        .filter(row -> row.value().equals(writtenText))
                                        .map(
                                                row ->
                                                        new RowCondition(
                                                                leaseKey,
                                                                Optional.of(row.version()))));
    }

    private static String toJson(Lease lease) {
        return JsonHttpClient.newObject()
                .put("holder", lease.holder().value())
                .put("epoch", lease.epoch())
                .put("turn", lease.writeCount())
                .toString();
    }

    private static Lease parse(String text) {
        JsonNode json = JsonHttpClient.parseJson(text);
        return new Lease(
                new NodeId(json.path("holder").asText()),
                json.path("epoch").asLong(),
                json.path("turn").asLong());
    }
}
