package org.wigeonferry.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.RefusalReason;
import org.wigeonferry.core_types.RequestId;
import org.wigeonferry.core_types.ServiceId;
import org.wigeonferry.core_types.StartOrder;
import org.wigeonferry.stand_ins.FaultyTable;
import org.wigeonferry.stand_ins.TableRows;
import org.wigeonferry.stand_ins.VirtualControl;
import org.wigeonferry.stand_ins.VirtualTime;

/**
 * Guards against running a call with an idempotency key twice, and against reporting a call that
 * ran as not run. The same booking is sent through several agents, while the table service loses
 * requests and answers or is down, and agents are killed.
 */
class StartOnceFuzzTest {
    private static final Duration DEADLINE = Duration.ofSeconds(2);
    private static final Duration SIMULATED_TIME = Duration.ofSeconds(60);

    @Property(tries = 3000, seed = "20261204")
    void runsAtMostOnceAndReportsNotRunOnlyIfItDidNotRun(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 4) int sends,
            @ForAll @IntRange(min = 0, max = 70) int faultPercent) {
        Random random = new Random(seed ^ Long.getLong("wigeonferry.fuzz.seed", 0));
        VirtualTime virtualTime = new VirtualTime();
        TableRows rows = new TableRows();
        FaultyTable table = new FaultyTable(rows, virtualTime, random, faultPercent / 100.0);
        FakeService service = new FakeService(virtualTime, random);
        List<String> violations = new ArrayList<>();
        Duration sendTime = Duration.ZERO;
        for (int i = 0; i < sends; i++) {
            int sendIndex = i;
            virtualTime.after(
                    sendTime,
                    () -> sendBooking(sendIndex, virtualTime, table, service, random, violations));
            boolean overlapping = random.nextInt(4) == 0;
            sendTime = sendTime.plus(overlapping ? DEADLINE.dividedBy(8) : DEADLINE.plusMillis(1));
        }
        if (random.nextInt(3) == 0) {
            virtualTime.after(Duration.ofMillis(random.nextInt(3000)), () -> table.down(true));
            virtualTime.after(
                    Duration.ofMillis(3000 + random.nextInt(5000)), () -> table.down(false));
        }
        virtualTime.run(SIMULATED_TIME);
        assertThat(service.runCount()).as("runs").isLessThanOrEqualTo(1);
        assertThat(violations).isEmpty();
    }

    private static void sendBooking(
            int sendIndex,
            VirtualTime virtualTime,
            FaultyTable table,
            FakeService service,
            Random random,
            List<String> violations) {
        VirtualControl control = new VirtualControl(virtualTime);
        if (random.nextInt(4) == 0) {
            virtualTime.after(Duration.ofMillis(random.nextInt(2000)), control::kill);
        }
        StartOrder order = order(sendIndex);
        AbandonedRowWriter abandonedRowWriter = new AbandonedRowWriter(control, table);
        String attemptToken = "agent-" + sendIndex;
        new StartOnceFlow(
                        order,
                        attemptToken,
                        new byte[0],
                        control,
                        service,
                        table,
                        abandonedRowWriter)
                .start()
                .thenAccept(
                        outcome -> {
                            recordViolations(outcome, service, violations);
                        });
    }

    /**
     * Compares a reported outcome with the runs at the service. Collects violations, since an
     * assertion that fails in a future's callback would not fail the test.
     */
    private static void recordViolations(
            ServiceOutcome outcome, FakeService service, List<String> violations) {
        boolean reportedNotRun =
                outcome.refusal()
                        .filter(refusal -> refusal.reason() != RefusalReason.KEY_CONFLICT)
                        .isPresent();
        if (reportedNotRun && service.runCount() > 0) {
            violations.add("reported as not run after " + service.runCount() + " runs");
        }
        if (outcome.result().isPresent() && service.runCount() != 1) {
            violations.add("reported a result after " + service.runCount() + " runs");
        }
    }

    private static StartOrder order(int sendIndex) {
        return StartOrder.builder()
                .entry(new NodeId("entry-" + sendIndex))
                .requestId(new RequestId("r" + sendIndex))
                .account(new AccountId("palace"))
                .service(Optional.of(new ServiceId("booking")))
                .operation("POST book")
                .timeLeft(DEADLINE)
                .requestDigest("d")
                .idempotencyKey(Optional.of("k"))
                .build();
    }
}
