package org.wigeonferry.agent;

import java.net.ConnectException;
import java.time.Duration;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import org.wigeonferry.core_types.StartOrder;
import org.wigeonferry.stand_ins.VirtualTime;

/**
 * A service in virtual time that counts the calls it runs, refuses one connection in ten and loses
 * one answer in ten.
 */
final class FakeService implements ServiceCalls {
    private final VirtualTime time;
    private final Random random;
    private int runCount;
    private boolean finished;

    FakeService(VirtualTime time, Random random) {
        this.time = time;
        this.random = random;
    }

    int runCount() {
        return runCount;
    }

    @Override
    public CompletableFuture<ServiceResult> call(StartOrder order, byte[] body) {
        CompletableFuture<ServiceResult> result = new CompletableFuture<>();
        int fault = random.nextInt(10);
        if (fault == 0) {
            result.completeExceptionally(new ConnectException("refused"));
            return result;
        }
        runCount++;
        Duration delay = Duration.ofMillis(random.nextInt(200));
        time.after(
                delay,
                () -> {
                    finished = true;
                    if (fault == 1) {
                        result.completeExceptionally(new TimeoutException("answer lost"));
                        return;
                    }
                    result.complete(new ServiceResult(200, "booked"));
                });
        return result;
    }

    @Override
    public CompletableFuture<Optional<ServiceResult>> lookUpResult(StartOrder order) {
        CompletableFuture<Optional<ServiceResult>> result = new CompletableFuture<>();
        boolean resultKnown = random.nextInt(3) > 0;
        time.after(
                Duration.ofMillis(5),
                () ->
                        result.complete(
                                finished && resultKnown
                                        ? Optional.of(new ServiceResult(200, "booked"))
                                        : Optional.empty()));
        return result;
    }
}
