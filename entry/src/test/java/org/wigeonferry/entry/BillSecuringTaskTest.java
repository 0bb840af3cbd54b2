package org.wigeonferry.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.Bill;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.RequestId;
import org.wigeonferry.core_types.ZoneId;
import org.wigeonferry.decisions.Peer;
import org.wigeonferry.decisions.Role;
import org.wigeonferry.node_runtime.ControlState;
import org.wigeonferry.node_runtime.NodeIdentity;
import org.wigeonferry.node_runtime.NodeMetrics;
import org.wigeonferry.settings.Settings;
import org.wigeonferry.settings.SettingsException;
import org.wigeonferry.settings.SettingsReader;
import org.wigeonferry.stand_ins.VirtualControl;
import org.wigeonferry.stand_ins.VirtualTime;

/** The store is down, and peers that hold bills are slow, refuse, or are gone. */
class BillSecuringTaskTest {
    private static final Duration DEADLINE = Duration.ofSeconds(15);
    private static final Bill BILL =
            Bill.builder()
                    .account(new AccountId("palace"))
                    .requestId(new RequestId("r1"))
                    .servedBy("small-1")
                    .generatedTokens(10)
                    .costMicros(10)
                    .build();

    private final VirtualTime time = new VirtualTime();
    private final VirtualControl control = new VirtualControl(time);
    private final BillCopyTracker holders = new BillCopyTracker();
    private final List<Duration> asked = new ArrayList<>();
    private EntryState state;
    private UnresponsiveTable table;

    @BeforeEach
    void start() throws SettingsException {
        Settings settings = settings();
        state =
                new EntryState(
                        control, new ControlState(identity("a", "ibadan"), settings), settings);
        state.controlState().peers().update(peer("b", "oyo-town"));
        state.controlState().peers().update(peer("c", "ogbomoso"));
        state.billLedger().add(BILL);
        table = new UnresponsiveTable(control);
    }

    @Test
    void peersSlowerThanTheFirstTimeoutHoldTheBillBeforeTheDeadline() {
        CompletableFuture<Boolean> secured = secure(DEADLINE, answerAfter(Duration.ofMillis(700)));
        time.run(DEADLINE);
        assertThat(secured).isCompletedWithValue(true);
    }

    @Test
    void peersThatRefuseForAWhileAreAskedAgain() {
        BillReplicator refusesAtFirst =
                (peer, bills, timeout) ->
                        CompletableFuture.completedFuture(
                                control.nanoTime() > Duration.ofSeconds(3).toNanos());
        CompletableFuture<Boolean> secured = secure(DEADLINE, refusesAtFirst);
        time.run(DEADLINE);
        assertThat(secured).isCompletedWithValue(true);
    }

    @Test
    void endsSoonAfterTheDeadlineIfNobodyTakesIt() {
        CompletableFuture<Boolean> secured =
                secure(Duration.ofSeconds(2), answerAfter(Duration.ofHours(1)));
        time.run(Duration.ofSeconds(10));
        assertThat(secured).isCompletedWithValue(false);
    }

    @Test
    void growingTimeoutsDoNotOutlastTheDeadline() {
        CompletableFuture<Boolean> secured = secure(DEADLINE, answerAfter(Duration.ofHours(1)));
        time.run(DEADLINE.plusSeconds(2));
        assertThat(secured).isCompletedWithValue(false);
    }

    @Test
    void oneRoundIsMadeThoughTheDeadlineIsOver() {
        CompletableFuture<Boolean> secured =
                secure(Duration.ofMillis(-1), answerAfter(Duration.ofMillis(10)));
        time.run(Duration.ofSeconds(1));
        assertThat(secured).isCompletedWithValue(true);
        assertThat(asked).hasSize(1);
    }

    @Test
    void brokenCallCountsAsARefusal() {
        CompletableFuture<Boolean> secured =
                secure(
                        Duration.ZERO,
                        (peer, bills, timeout) ->
                                CompletableFuture.failedFuture(
                                        new IllegalStateException("broken")));
        time.run(Duration.ofSeconds(10));
        assertThat(secured).isCompletedWithValue(false);
    }

    @Test
    void billWrittenInTheBackgroundIsSecured() {
        CompletableFuture<Boolean> secured = secure(DEADLINE, answerAfter(Duration.ofHours(1)));
        control.schedule(
                Duration.ofSeconds(1),
                () -> state.billLedger().onBillsStored(List.of(BILL.rowKey())));
        time.run(Duration.ofSeconds(4));
        assertThat(secured).isCompletedWithValue(true);
    }

    private CompletableFuture<Boolean> secure(Duration within, BillReplicator hold) {
        BillWriter writer =
                new BillWriter(
                        control,
                        state.billLedger(),
                        table,
                        new NodeMetrics(),
                        holders::onBillsDurable);
        BillReplicator counted =
                (peer, bills, timeout) -> {
                    asked.add(timeout);
                    return hold.replicate(peer, bills, timeout);
                };
        return new BillSecuringTask(BILL, within, control, state, counted, writer, holders).start();
    }

    /** A peer that needs a time; later than the timeout counts as no answer. */
    private BillReplicator answerAfter(Duration latency) {
        return (peer, bills, timeout) -> {
            CompletableFuture<Boolean> held = new CompletableFuture<>();
            boolean inTime = latency.compareTo(timeout) < 0;
            control.schedule(inTime ? latency : timeout, () -> held.complete(inTime));
            return held;
        };
    }

    private static Peer peer(String name, String zone) {
        NodeIdentity of = identity(name, zone);
        return new Peer(of.node(), of.role(), of.zone(), of.address(), of.startMillis(), 0);
    }

    private static NodeIdentity identity(String name, String zone) {
        return new NodeIdentity(
                new NodeId(name), Role.ENTRY, new ZoneId(zone), new HostAddress("127.0.0.1", 1), 1);
    }

    private static Settings settings() throws SettingsException {
        String text =
                "[node]\nname = a\npeer-address = 127.0.0.1:1\nzone = ibadan\n[peers]\nkey = k\n"
                        + "[platform]\ntable = 127.0.0.1:1\nrater = 127.0.0.1:1\n"
                        + "[entry]\ncaller-address = 127.0.0.1:1\nadmin-address = 127.0.0.1:1\n"
                        + "admin-key-digests = 00:00\nsession-key = s\n";
        return SettingsReader.parse("test", text, EntrySettingKeys.all());
    }
}
