package org.wigeonferry.stand_ins;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.wigeonferry.core_types.ReadResult;
import org.wigeonferry.core_types.ScanResult;
import org.wigeonferry.core_types.TableTransaction;
import org.wigeonferry.core_types.TransactionOutcome;
import org.wigeonferry.core_types.TransactionResult;
import org.wigeonferry.platform_clients.TableService;

/**
 * A table service in virtual time that loses requests and answers, and lets writes take effect
 * late.
 *
 * <p>Not thread safe; used by the test's thread.
 */
public final class FaultyTable implements TableService {
    private static final Duration TIMEOUT = Duration.ofMillis(300);
    private static final int MAX_LATENCY_MILLIS = 20;
    private static final int MAX_LATENESS_MILLIS = 3000;

    private final TableRows rows;
    private final VirtualTime time;
    private final Random random;
    private final double faultShare;
    private boolean down;

    /** Misbehaves for a share of the requests. */
    public FaultyTable(TableRows rows, VirtualTime time, Random random, double faultShare) {
        this.rows = rows;
        this.time = time;
        this.random = random;
        this.faultShare = faultShare;
    }

    /** Begins or ends an outage. */
    public void down(boolean value) {
        down = value;
    }

    @Override
    public CompletableFuture<TransactionResult> transact(TableTransaction transaction) {
        CompletableFuture<TransactionResult> result = new CompletableFuture<>();
        boolean fault = down || random.nextDouble() < faultShare;
        if (!fault) {
            time.after(latency(), () -> answer(result, () -> apply(transaction)));
            return result;
        }
        boolean takesEffect = !down && random.nextBoolean();
        if (takesEffect) {
            Duration late = Duration.ofMillis(random.nextInt(MAX_LATENESS_MILLIS));
            time.after(late, () -> rows.transact(transaction));
        }
        time.after(TIMEOUT, () -> result.complete(TransactionResult.UNANSWERED));
        return result;
    }

    @Override
    public CompletableFuture<ReadResult> read(String key) {
        return ask(() -> new ReadResult(true, rows.read(key)), ReadResult.UNANSWERED);
    }

    @Override
    public CompletableFuture<ScanResult> scan(String prefix, String afterKey, int limit) {
        return ask(
                () -> new ScanResult(true, rows.scan(prefix, afterKey, limit)),
                ScanResult.UNANSWERED);
    }

    private <T> CompletableFuture<T> ask(Supplier<T> question, T unanswered) {
        CompletableFuture<T> result = new CompletableFuture<>();
        if (down || random.nextDouble() < faultShare) {
            time.after(TIMEOUT, () -> result.complete(unanswered));
            return result;
        }
        time.after(latency(), () -> answer(result, question));
        return result;
    }

    /** The effect and the answer are apart, so that others may come between. */
    private <T> void answer(CompletableFuture<T> result, Supplier<T> question) {
        T value = question.get();
        time.after(latency(), () -> result.complete(value));
    }

    private TransactionResult apply(TableTransaction transaction) {
        List<String> failed = rows.transact(transaction);
        TransactionOutcome outcome =
                failed.isEmpty() ? TransactionOutcome.APPLIED : TransactionOutcome.REFUSED;
        return new TransactionResult(outcome, failed);
    }

    private Duration latency() {
        return Duration.ofMillis(1 + random.nextInt(MAX_LATENCY_MILLIS));
    }
}
