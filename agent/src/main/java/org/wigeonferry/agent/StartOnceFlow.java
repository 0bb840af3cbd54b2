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
 * Takes one call that may not be repeated through the steps of {@link StartOnce}.
 *
 * <p>Invariant: the call is handed over at most once, after the row with this attempt's token was
 * seen to be there. Steps follow one another, so no lock is needed.
 */
final class StartOnceFlow {
    private static final Duration FIRST_PAUSE = Duration.ofMillis(50);
    private static final int MAX_RESULT_WRITES = 5;

    /** Share of the time to the deadline that is kept for the mark of an attempt given up. */
    private static final int MARK_SHARE = 4;

    private static final ServiceOutcome NOT_RUN =
            ServiceOutcome.ofNotRun(
                    RefusalReason.STORE_UNAVAILABLE, "table service did not answer in time");
    private static final ServiceOutcome EARLIER_SEND =
            ServiceOutcome.ofUnknown(
                    "this send was not run; an earlier one with the same key may have been");

    private final StartOrder order;
    private final String key;
    private final String token;
    private final byte[] body;
    private final ControlExecutor control;
    private final ServiceCalls calls;
    private final TableService table;
    private final AbandonedRowWriter abandonment;
    private final long deadlineNanos;
    private final long giveUpNanos;
    private final CompletableFuture<ServiceOutcome> outcome = new CompletableFuture<>();
    private Duration pause = FIRST_PAUSE;
    private Optional<Row> seen = Optional.empty();

    StartOnceFlow(
            StartOrder order,
            String token,
            byte[] body,
            ControlExecutor control,
            ServiceCalls calls,
            TableService table,
            AbandonedRowWriter abandonment) {
        this.order = order;
        this.key = StartRows.rowKey(order);
        this.token = token;
        this.body = body;
        this.control = control;
        this.calls = calls;
        this.table = table;
        this.abandonment = abandonment;
        long now = control.nanoTime();
        this.deadlineNanos = now + order.timeLeft().toNanos();
        this.giveUpNanos = deadlineNanos - order.timeLeft().toNanos() / MARK_SHARE;
    }

    /** Begins; the result says how the call ended. */
    CompletableFuture<ServiceOutcome> start() {
        insert();
        return outcome;
    }

    private void take(StartOnceStep step) {
        switch (step) {
            case RUN -> handOver();
            case READ_BACK -> later(this::read);
            case INSERT_AGAIN -> insert();
            case TAKE_OVER -> takeOver();
            case RETURN_STORED -> returnStored();
            case REPORT_UNKNOWN -> lookUp();
            case REPORT_CONFLICT ->
                    outcome.complete(
                            ServiceOutcome.ofNotRun(
                                    RefusalReason.KEY_CONFLICT,
                                    "idempotency key was used with another body"));
        }
    }

    private void insert() {
        write(TableTransaction.insert(List.of(new RowPut(key, started()))));
    }

    private void takeOver() {
        write(TableTransaction.replace(seen.orElseThrow(), started()));
    }

    private void write(TableTransaction transaction) {
        table.transact(transaction).thenAccept(r -> take(StartOnce.decideAfterWrite(r.outcome())));
    }

    private void read() {
        table.read(key).thenAccept(this::onRead);
    }

    private void onRead(ReadResult read) {
        if (!read.serviceAnswered()) {
            later(this::read);
            return;
        }
        seen = read.row();
        Optional<StartRow> row = seen.map(r -> StartRows.fromJson(r.value()));
        take(StartOnce.decideAfterRead(row, token, order.requestDigest()));
    }

    /** Goes on after a pause, or gives up: nothing was handed over yet. */
    private void later(Runnable step) {
        if (control.nanoTime() + pause.toNanos() > giveUpNanos) {
            giveUp();
            return;
        }
        Duration wait = pause;
        pause = pause.multipliedBy(2);
        control.schedule(wait, step);
    }

    /**
     * Says that the call was not run once the mark is in the table; until then an earlier send of
     * the same call may have run, so that without the mark the outcome is unknown.
     */
    private void giveUp() {
        abandonment
                .markAbandoned(key, token, order.requestDigest())
                .thenAccept(marked -> outcome.complete(marked ? NOT_RUN : EARLIER_SEND));
        Duration left = Duration.ofNanos(Math.max(0, deadlineNanos - control.nanoTime()));
        control.schedule(left, () -> outcome.complete(EARLIER_SEND));
    }

    private void handOver() {
        if (control.nanoTime() > giveUpNanos) {
            giveUp();
            return;
        }
        calls.call(order, body)
                .whenComplete(
                        (result, failure) -> {
                            if (failure == null) {
                                store(result, MAX_RESULT_WRITES);
                                return;
                            }
                            onFailure(failure);
                        });
    }

    private void onFailure(Throwable failure) {
        if (ServiceCalls.isConnectFailure(failure)) {
            abandonment.markAbandoned(key, token, order.requestDigest());
            outcome.complete(
                    ServiceOutcome.ofNotRun(
                            RefusalReason.NOT_CONNECTED, "service took no request"));
            return;
        }
        lookUp();
    }

    private void store(ServiceResult result, int writesLeft) {
        table.transact(new TableTransaction(List.of(), List.of(new RowPut(key, finished(result)))))
                .thenAccept(
                        r -> {
                            boolean done =
                                    r.outcome() == TransactionOutcome.APPLIED || writesLeft == 0;
                            if (!done) {
                                control.schedule(FIRST_PAUSE, () -> store(result, writesLeft - 1));
                            }
                        });
        outcome.complete(ServiceOutcome.ofResult(result, false));
    }

    private void returnStored() {
        String text = StartRows.fromJson(seen.orElseThrow().value()).result().orElse("");
        outcome.complete(ServiceOutcome.ofResult(ServiceResult.fromJson(text), true));
    }

    private void lookUp() {
        calls.lookUpResult(order)
                .thenAccept(
                        found -> {
                            if (found.isPresent()) {
                                store(found.get(), MAX_RESULT_WRITES);
                                return;
                            }
                            outcome.complete(
                                    ServiceOutcome.ofUnknown("another attempt may have run"));
                        });
    }

    private String started() {
        return StartRows.toJson(
                new StartRow(order.requestDigest(), token, StartState.STARTED, Optional.empty()));
    }

    private String finished(ServiceResult result) {
        return StartRows.toJson(
                new StartRow(
                        order.requestDigest(),
                        token,
                        StartState.FINISHED,
                        Optional.of(result.toJson())));
    }
}
