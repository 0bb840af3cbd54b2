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

/** Securing of a bill while the table service does not answer and peers are slow or refuse. */
class BillSecuringTaskTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(15);
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
    private final BillCopyTracker copyTracker = new BillCopyTracker();
    private final List<Duration> requestedTimeouts = new ArrayList<>();
    private EntryState state;
    private UnresponsiveTable table;

    @BeforeEach
    void setUp() throws SettingsException {
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
    void peersSlowerThanFirstTimeoutKeepCopyBeforeDeadline() {
        CompletableFuture<Boolean> secured =
                secure(TIMEOUT, keepCopiesAfter(Duration.ofMillis(700)));
        time.run(TIMEOUT);
        assertThat(secured).isCompletedWithValue(true);
    }

    @Test
    void peersThatRefuseAtFirstAreAskedAgain() {
        BillReplicator refusesAtFirst =
                (peer, bills, timeout) ->
                        CompletableFuture.completedFuture(
                                control.nanoTime() > Duration.ofSeconds(3).toNanos());
        CompletableFuture<Boolean> secured = secure(TIMEOUT, refusesAtFirst);
        time.run(TIMEOUT);
        assertThat(secured).isCompletedWithValue(true);
    }

    @Test
    void failsSoonAfterDeadlineIfNoPeerKeepsCopy() {
        CompletableFuture<Boolean> secured =
                secure(Duration.ofSeconds(2), keepCopiesAfter(Duration.ofHours(1)));
        time.run(Duration.ofSeconds(10));
        assertThat(secured).isCompletedWithValue(false);
    }

    @Test
    void growingTimeoutsEndSoonAfterDeadline() {
        CompletableFuture<Boolean> secured = secure(TIMEOUT, keepCopiesAfter(Duration.ofHours(1)));
        time.run(TIMEOUT.plusSeconds(2));
        assertThat(secured).isCompletedWithValue(false);
    }

    @Test
    void oneRoundIsMadeIfDeadlineHasPassed() {
        CompletableFuture<Boolean> secured =
                secure(Duration.ofMillis(-1), keepCopiesAfter(Duration.ofMillis(10)));
        time.run(Duration.ofSeconds(1));
        assertThat(secured).isCompletedWithValue(true);
        assertThat(requestedTimeouts).hasSize(1);
    }

    @Test
    void failedCallCountsAsRefusal() {
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
    void billWrittenByPeriodicBatchIsSecured() {
        CompletableFuture<Boolean> secured = secure(TIMEOUT, keepCopiesAfter(Duration.ofHours(1)));
        control.schedule(
                Duration.ofSeconds(1),
                () -> state.billLedger().onBillsStored(List.of(BILL.rowKey())));
        time.run(Duration.ofSeconds(4));
        assertThat(secured).isCompletedWithValue(true);
    }

    private CompletableFuture<Boolean> secure(Duration timeout, BillReplicator replicator) {
        BillWriter writer =
                new BillWriter(
                        control,
                        state.billLedger(),
                        table,
                        new NodeMetrics(),
                        copyTracker::onBillsDurable);
        BillReplicator recordingReplicator =
                (peer, bills, callTimeout) -> {
                    requestedTimeouts.add(callTimeout);
                    return replicator.replicate(peer, bills, callTimeout);
                };
        return new BillSecuringTask(
                        BILL, timeout, control, state, recordingReplicator, writer, copyTracker)
                .start();
    }

    /** Peers that keep the copies after a latency; one longer than the timeout means no answer. */
    private BillReplicator keepCopiesAfter(Duration latency) {
        return (peer, bills, timeout) -> {
            CompletableFuture<Boolean> kept = new CompletableFuture<>();
            boolean inTime = latency.compareTo(timeout) < 0;
            control.schedule(inTime ? latency : timeout, () -> kept.complete(inTime));
            return kept;
        };
    }

    private static Peer peer(String name, String zone) {
        NodeIdentity identity = identity(name, zone);
        return new Peer(
                identity.node(),
                identity.role(),
                identity.zone(),
                identity.address(),
                identity.startMillis(),
                0);
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
