package org.wigeonferry.agent;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.wigeonferry.core_types.ReadResult;
import org.wigeonferry.core_types.RefusalReason;
import org.wigeonferry.core_types.Row;
import org.wigeonferry.core_types.RowPut;
import org.wigeonferry.core_types.StartOrder;
import org.wigeonferry.core_types.TableTransaction;
import org.wigeonferry.core_types.TransactionOutcome;
import org.wigeonferry.decisions.StartOnce;
import org.wigeonferry.decisions.StartOnceStep;
import org.wigeonferry.decisions.StartRow;
import org.wigeonferry.decisions.StartState;
import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.platform_clients.TableService;

/**
 * Runs one call that must not be repeated, by the steps that {@link StartOnce} decides.
 *
 * <p>Invariant: the call is sent to the service at most once, and only after a write or a read of
 * its start row confirmed that the row has this attempt's token. Each step starts after the one
 * before it has ended, so no lock is needed.
 */
final class StartOnceFlow {
    private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(50);
    private static final int MAX_RESULT_WRITE_RETRIES = 5;

    /** The last 1/4 of the time to the deadline is kept for marking the start row as abandoned. */
    private static final int ABANDON_TIME_DIVISOR = 4;

    private static final ServiceOutcome NOT_RUN_TABLE_UNAVAILABLE =
            ServiceOutcome.ofNotRun(
                    RefusalReason.STORE_UNAVAILABLE, "table service did not answer in time");
    private static final ServiceOutcome UNKNOWN_IF_EARLIER_ATTEMPT_RAN =
            ServiceOutcome.ofUnknown(
                    "this attempt did not run the call; an earlier attempt with the same"
                            + " idempotency key may have run it");

    private final StartOrder order;
    private final String rowKey;
    private final String attemptToken;
    private final byte[] body;
    private final ControlExecutor control;
    private final ServiceCalls calls;
    private final TableService table;
    private final AbandonedRowWriter abandonedRowWriter;
    private final long deadlineNanos;
    private final long giveUpNanos;
    private final CompletableFuture<ServiceOutcome> outcome = new CompletableFuture<>();
    private Duration retryDelay = INITIAL_RETRY_DELAY;
    private Optional<Row> readRow = Optional.empty();

    StartOnceFlow(
            StartOrder order,
            String attemptToken,
            byte[] body,
            ControlExecutor control,
            ServiceCalls calls,
            TableService table,
            AbandonedRowWriter abandonedRowWriter) {
        this.order = order;
        this.rowKey = StartRows.rowKey(order);
        this.attemptToken = attemptToken;
        this.body = body;
        this.control = control;
        this.calls = calls;
        this.table = table;
        this.abandonedRowWriter = abandonedRowWriter;
        long now = control.nanoTime();
        this.deadlineNanos = now + order.timeLeft().toNanos();
        this.giveUpNanos = deadlineNanos - order.timeLeft().toNanos() / ABANDON_TIME_DIVISOR;
    }

    /** Starts the first step; the result completes with the outcome of the call. */
    CompletableFuture<ServiceOutcome> start() {
        insertStartRow();
        return outcome;
    }

    private void execute(StartOnceStep step) {
        switch (step) {
            case RUN -> callService();
            case READ_BACK -> retryLaterOrGiveUp(this::readBack);
            case INSERT_AGAIN -> insertStartRow();
            case TAKE_OVER -> takeOverAbandonedRow();
            case RETURN_STORED -> returnStoredResult();
            case REPORT_UNKNOWN -> lookUpResult();
            case REPORT_CONFLICT ->
                    outcome.complete(
                            ServiceOutcome.ofNotRun(
                                    RefusalReason.KEY_CONFLICT,
                                    "idempotency key was used before with another request body"));
        }
    }

    private void insertStartRow() {
        writeRow(TableTransaction.insert(List.of(new RowPut(rowKey, startedRowJson()))));
    }

    private void takeOverAbandonedRow() {
        writeRow(TableTransaction.replace(readRow.orElseThrow(), startedRowJson()));
    }

    private void writeRow(TableTransaction transaction) {
        table.transact(transaction)
                .thenAccept(r -> execute(StartOnce.decideAfterWrite(r.outcome())));
    }

    private void readBack() {
        table.read(rowKey).thenAccept(this::onRead);
    }

    private void onRead(ReadResult read) {
        if (!read.serviceAnswered()) {
            retryLaterOrGiveUp(this::readBack);
            return;
        }
        readRow = read.row();
        Optional<StartRow> row = readRow.map(r -> StartRows.fromJson(r.value()));
        execute(StartOnce.decideAfterRead(row, attemptToken, order.requestDigest()));
    }

    /** Runs the step after a delay, or gives up. Call it only before the call is sent. */
    private void retryLaterOrGiveUp(Runnable step) {
        if (control.nanoTime() + retryDelay.toNanos() > giveUpNanos) {
            giveUp();
            return;
        }
        Duration wait = retryDelay;
        retryDelay = retryDelay.multipliedBy(2);
        control.schedule(wait, step);
    }

    /**
     * Gives up the attempt before its call is sent. Reports that the call was not run if its start
     * row is marked as abandoned before the deadline. Otherwise reports an unknown outcome, since
     * an earlier attempt with the same idempotency key may have run the call.
     */
    private void giveUp() {
        abandonedRowWriter
                .markAbandoned(rowKey, attemptToken, order.requestDigest())
                .thenAccept(
                        marked ->
                                outcome.complete(
                                        marked
                                                ? NOT_RUN_TABLE_UNAVAILABLE
                                                : UNKNOWN_IF_EARLIER_ATTEMPT_RAN));
        Duration left = Duration.ofNanos(Math.max(0, deadlineNanos - control.nanoTime()));
        control.schedule(left, () -> outcome.complete(UNKNOWN_IF_EARLIER_ATTEMPT_RAN));
    }

    private void callService() {
        if (control.nanoTime() > giveUpNanos) {
            giveUp();
            return;
        }
        calls.call(order, body)
                .whenComplete(
                        (result, failure) -> {
                            if (failure == null) {
                                storeResult(result, MAX_RESULT_WRITE_RETRIES);
                                return;
                            }
                            onCallFailure(failure);
                        });
    }

    private void onCallFailure(Throwable failure) {
        if (ServiceCalls.isConnectFailure(failure)) {
            abandonedRowWriter.markAbandoned(rowKey, attemptToken, order.requestDigest());
            outcome.complete(
                    ServiceOutcome.ofNotRun(
                            RefusalReason.NOT_CONNECTED, "could not connect to the service"));
            return;
        }
        lookUpResult();
    }

    /**
     * Reports the result and stores it in the start row. If all writes fail, the row stays in the
     * state {@code STARTED}, and a later attempt asks the service for the result.
     */
    private void storeResult(ServiceResult result, int retriesLeft) {
        table.transact(
                        new TableTransaction(
                                List.of(), List.of(new RowPut(rowKey, finishedRowJson(result)))))
                .thenAccept(
                        r -> {
                            boolean done =
                                    r.outcome() == TransactionOutcome.APPLIED || retriesLeft == 0;
                            if (!done) {
                                control.schedule(
                                        INITIAL_RETRY_DELAY,
                                        () -> storeResult(result, retriesLeft - 1));
                            }
                        });
        outcome.complete(ServiceOutcome.ofResult(result, false));
    }

    private void returnStoredResult() {
        String text = StartRows.fromJson(readRow.orElseThrow().value()).result().orElse("");
        outcome.complete(ServiceOutcome.ofResult(ServiceResult.fromJson(text), true));
    }

    /** Asks the service for the result; reports an unknown outcome if the service has none. */
    private void lookUpResult() {
        calls.lookUpResult(order)
                .thenAccept(
                        found -> {
                            if (found.isPresent()) {
                                storeResult(found.get(), MAX_RESULT_WRITE_RETRIES);
                                return;
                            }
                            outcome.complete(
                                    ServiceOutcome.ofUnknown(
                                            "the call may have run, but the service reported"
                                                    + " no result for it"));
                        });
    }

    private String startedRowJson() {
        return StartRows.toJson(
                new StartRow(
                        order.requestDigest(), attemptToken, StartState.STARTED, Optional.empty()));
    }

    private String finishedRowJson(ServiceResult result) {
        return StartRows.toJson(
                new StartRow(
                        order.requestDigest(),
                        attemptToken,
                        StartState.FINISHED,
                        Optional.of(result.toJson())));
    }
}
