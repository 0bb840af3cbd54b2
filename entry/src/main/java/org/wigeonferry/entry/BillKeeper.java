package org.wigeonferry.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.core_types.Bill;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.decisions.BillLedger;
import org.wigeonferry.decisions.Peer;
import org.wigeonferry.messages.Codec;
import org.wigeonferry.messages.CodecException;
import org.wigeonferry.messages.gen.HoldMessage;
import org.wigeonferry.messages.gen.HoldReply;
import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.node_runtime.NodeMetrics;
import org.wigeonferry.node_runtime.PeerTransport;
import org.wigeonferry.platform_clients.TableService;

/**
 * Keeps bills until the table service has them.
 *
 * <p>A bill is secured once an entry of another availability zone holds it too, or the store has
 * it. The holder drops a bill at its owner's word, and writes it itself once the owner is gone; an
 * owner whose holder is gone finds another. State is touched on the control thread only. Thread
 * safe.
 */
final class BillKeeper {
    static final String HOLD_PATH = "/peer/hold";

    private static final Logger LOG = LoggerFactory.getLogger(BillKeeper.class);
    private static final Duration HOLD_TIMEOUT = Duration.ofMillis(400);

    /** How long an owner may be silent before its bills are written by their holder. */
    private static final Duration OWNER_SILENCE = Duration.ofSeconds(10);

    private final ControlExecutor control;
    private final EntryState state;
    private final BillLedger ledger;
    private final PeerTransport calls;
    private final BillWriter writer;
    private final BillCopyTracker holders = new BillCopyTracker();
    private final Map<NodeId, Long> ownerSeenNanos = new HashMap<>();

    BillKeeper(
            ControlExecutor control,
            EntryState state,
            PeerTransport calls,
            TableService table,
            NodeMetrics metrics) {
        this.control = control;
        this.state = state;
        this.ledger = state.billLedger();
        this.calls = calls;
        this.writer = new BillWriter(control, ledger, table, metrics, holders::onBillsDurable);
    }

    /** Begins to write batches. */
    void start(Duration period) {
        control.scheduleWithFixedDelay(period, this::writeAndDrop);
        control.scheduleWithFixedDelay(OWNER_SILENCE.dividedBy(2), this::lookAfterOthers);
    }

    /** Secures a bill; false if neither a second host nor the store took it in time. */
    CompletableFuture<Boolean> secure(Bill bill, Duration within) {
        return control.submit(
                        () -> {
                            if (!ledger.add(bill)) {
                                return CompletableFuture.completedFuture(false);
                            }
                            return securing(bill, within).start();
                        })
                .thenCompose(secured -> secured);
    }

    private BillSecuringTask securing(Bill bill, Duration within) {
        return new BillSecuringTask(
                bill,
                within,
                control,
                state,
                (peer, bills, timeout) -> sendHold(peer, bills, List.of(), timeout),
                writer,
                holders);
    }

    /** Holds bills for a peer, unless this process is stopping. */
    CompletableFuture<byte[]> onHoldRequest(byte[] body) {
        return control.submit(
                () -> {
                    try {
                        HoldMessage message = Codec.decode(body, new HoldMessage());
                        return Codec.encode(new HoldReply(hold(message)));
                    } catch (CodecException e) {
                        throw new CompletionException(e);
                    }
                });
    }

    /** Writes this process's bills and those it holds; completes once all are durable. */
    CompletableFuture<Boolean> flush() {
        control.execute(() -> ledger.ownersOfHeldBills().forEach(ledger::takeOverFrom));
        return writer.flush();
    }

    private boolean hold(HoldMessage message) {
        NodeId owner = new NodeId(message.getOwner());
        ownerSeenNanos.put(owner, control.nanoTime());
        ledger.dropHeld(owner, message.getDrop());
        List<Bill> bills = message.getHold().stream().map(BillCodec::fromMessage).toList();
        return !state.isStopping() && ledger.holdFor(owner, bills);
    }

    private CompletableFuture<Boolean> sendHold(
            Peer peer, List<Bill> hold, List<String> drop, Duration timeout) {
        HoldMessage message = new HoldMessage();
        message.setOwner(state.controlState().identity().incarnationId().value());
        message.setOwnerEpoch(state.controlState().identity().startMillis());
        message.setHold(hold.stream().map(BillCodec::toMessage).toList());
        message.setDrop(drop);
        try {
            return calls.call(peer.address(), HOLD_PATH, Codec.encode(message), timeout)
                    .thenApply(BillKeeper::held)
                    .exceptionally(failure -> false);
        } catch (CodecException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private static boolean held(byte[] reply) {
        try {
            return Codec.decode(reply, new HoldReply()).isHeld();
        } catch (CodecException e) {
            return false;
        }
    }

    private void writeAndDrop() {
        writer.writeNextBatch();
        for (Peer peer : state.controlState().peers().liveEntries(control.nanoTime())) {
            List<String> drops = holders.takeDroppableKeys(peer.node());
            if (!drops.isEmpty()) {
                sendHold(peer, List.of(), drops, HOLD_TIMEOUT);
            }
        }
        holders.clearDroppableKeys();
    }

    private void lookAfterOthers() {
        adoptFromLostOwners();
        holdElsewhere();
    }

    private void adoptFromLostOwners() {
        long now = control.nanoTime();
        for (NodeId owner : ledger.ownersOfHeldBills()) {
            long seen = ownerSeenNanos.getOrDefault(owner, now);
            if (now - seen > OWNER_SILENCE.toNanos()) {
                int count = ledger.takeOverFrom(owner);
                LOG.atInfo().addKeyValue("owner", owner).addKeyValue("bills", count).log("adopted");
            }
        }
        ownerSeenNanos.keySet().retainAll(ledger.ownersOfHeldBills());
    }

    /** Finds another holder for bills whose holder is gone. */
    private void holdElsewhere() {
        long now = control.nanoTime();
        List<NodeId> live =
                state.controlState().peers().liveEntries(now).stream().map(Peer::node).toList();
        List<Bill> orphans = new ArrayList<>();
        holders.takeKeysOfLostCopies(live)
                .forEach(key -> ledger.findPending(key).ifPresent(orphans::add));
        Optional<Peer> peer = state.controlState().pickPeerInOtherZone(List.of(), now);
        if (orphans.isEmpty() || peer.isEmpty()) {
            return;
        }
        sendHold(peer.get(), orphans, List.of(), HOLD_TIMEOUT)
                .thenAccept(
                        held -> control.execute(() -> onHeldElsewhere(orphans, peer.get(), held)));
    }

    private void onHeldElsewhere(List<Bill> bills, Peer peer, boolean held) {
        if (!held) {
            return;
        }
        for (Bill bill : bills) {
            holders.onCopyStored(bill.rowKey(), peer, ledger.findPending(bill.rowKey()).isEmpty());
        }
    }
}
