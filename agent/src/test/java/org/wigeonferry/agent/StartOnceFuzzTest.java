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

/** Sends of one booking through several agents, with a store that fails and agents that die. */
class StartOnceFuzzTest {
    private static final Duration DEADLINE = Duration.ofSeconds(2);
    private static final Duration LONG = Duration.ofSeconds(60);

    @Property(tries = 3000, seed = "20261204")
    void runsAtMostOnceAndNotRunIsTrue(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 4) int sends,
            @ForAll @IntRange(min = 0, max = 70) int faultPercent) {
        Random random = new Random(seed ^ Long.getLong("wigeonferry.fuzz.seed", 0));
        VirtualTime time = new VirtualTime();
        TableRows rows = new TableRows();
        FaultyTable table = new FaultyTable(rows, time, random, faultPercent / 100.0);
        FakeService desk = new FakeService(time, random);
        List<String> violations = new ArrayList<>();
        Duration start = Duration.ZERO;
        for (int i = 0; i < sends; i++) {
            int number = i;
            time.after(start, () -> send(number, time, table, desk, random, violations));
            boolean overlapping = random.nextInt(4) == 0;
            start = start.plus(overlapping ? DEADLINE.dividedBy(8) : DEADLINE.plusMillis(1));
        }
        if (random.nextInt(3) == 0) {
            time.after(Duration.ofMillis(random.nextInt(3000)), () -> table.down(true));
            time.after(Duration.ofMillis(3000 + random.nextInt(5000)), () -> table.down(false));
        }
        time.run(LONG);
        assertThat(desk.runCount()).as("runs").isLessThanOrEqualTo(1);
        assertThat(violations).isEmpty();
    }

    private static void send(
            int number,
            VirtualTime time,
            FaultyTable table,
            FakeService desk,
            Random random,
            List<String> violations) {
        VirtualControl control = new VirtualControl(time);
        if (random.nextInt(4) == 0) {
            time.after(Duration.ofMillis(random.nextInt(2000)), control::kill);
        }
        StartOrder order = order(number);
        AbandonedRowWriter abandonment = new AbandonedRowWriter(control, table);
        String token = "agent-" + number;
        new StartOnceFlow(order, token, new byte[0], control, desk, table, abandonment)
                .start()
                .thenAccept(
                        outcome -> {
                            check(outcome, desk, violations);
                        });
    }

    /** Failures inside a future's callback would be lost, so they are collected. */
    private static void check(ServiceOutcome outcome, FakeService desk, List<String> violations) {
        boolean toldNotRun =
                outcome.refusal()
                        .filter(refusal -> refusal.reason() != RefusalReason.KEY_CONFLICT)
                        .isPresent();
        if (toldNotRun && desk.runCount() > 0) {
            violations.add("told not run after " + desk.runCount() + " runs");
        }
        if (outcome.result().isPresent() && desk.runCount() != 1) {
            violations.add("told an answer after " + desk.runCount() + " runs");
        }
    }

    private static StartOrder order(int number) {
        return StartOrder.builder()
                .entry(new NodeId("entry-" + number))
                .requestId(new RequestId("r" + number))
                .account(new AccountId("palace"))
                .service(Optional.of(new ServiceId("booking")))
                .operation("POST book")
                .timeLeft(DEADLINE)
                .requestDigest("d")
                .idempotencyKey(Optional.of("k"))
                .build();
    }
}
