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
import org.wigeonferry.messages.CodecException;
import org.wigeonferry.messages.MessageCodec;
import org.wigeonferry.messages.gen.HoldMessage;
import org.wigeonferry.messages.gen.HoldReply;
import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.node_runtime.NodeMetrics;
import org.wigeonferry.node_runtime.PeerTransport;
import org.wigeonferry.platform_clients.TableService;

/**
 * Keeps the bills of this process, and copies for other entries, until the table service has stored
 * them.
 *
 * <p>A bill is durable once the table service has stored it, and secured once it is durable or an
 * entry of another availability zone keeps a copy. That entry deletes the copy when the bill's
 * owner, the entry that created the bill, tells it to; it writes the bill itself if the owner has
 * been silent for {@link #OWNER_SILENCE_TIMEOUT}. If the entry with the copy is no longer live, the
 * owner sends a copy to another one. Thread safe; state is accessed on the control thread only.
 */
final class BillKeeper {
    static final String HOLD_PATH = "/peer/hold";

    private static final Logger LOG = LoggerFactory.getLogger(BillKeeper.class);
    private static final Duration COPY_TIMEOUT = Duration.ofMillis(400);

    /** Time without a message from an owner after which this process writes the owner's bills. */
    private static final Duration OWNER_SILENCE_TIMEOUT = Duration.ofSeconds(10);

    private final ControlExecutor control;
    private final EntryState state;
    private final BillLedger ledger;
    private final PeerTransport transport;
    private final BillWriter writer;
    private final BillCopyTracker copyTracker = new BillCopyTracker();
    private final Map<NodeId, Long> ownerLastSeenNanos = new HashMap<>();

    BillKeeper(
            ControlExecutor control,
            EntryState state,
            PeerTransport transport,
            TableService table,
            NodeMetrics metrics) {
        this.control = control;
        this.state = state;
        this.ledger = state.billLedger();
        this.transport = transport;
        this.writer = new BillWriter(control, ledger, table, metrics, copyTracker::onBillsDurable);
    }

    /**
     * Starts the periodic work: writes bills in batches, and recovers bills of silent owners and
     * bills whose copy is lost.
     */
    void start(Duration writePeriod) {
        control.scheduleWithFixedDelay(writePeriod, this::writeBatchAndSendDrops);
        control.scheduleWithFixedDelay(OWNER_SILENCE_TIMEOUT.dividedBy(2), this::recoverBills);
    }

    /**
     * Secures a bill; false if neither a peer nor the table service has stored it before the
     * timeout, or if too many bills are pending.
     */
    CompletableFuture<Boolean> secure(Bill bill, Duration timeout) {
        return control.submit(
                        () -> {
                            if (!ledger.add(bill)) {
                                return CompletableFuture.completedFuture(false);
                            }
                            return newSecuringTask(bill, timeout).start();
                        })
                .thenCompose(secured -> secured);
    }

    private BillSecuringTask newSecuringTask(Bill bill, Duration timeout) {
        return new BillSecuringTask(
                bill,
                timeout,
                control,
                state,
                (peer, bills, callTimeout) -> sendHoldRequest(peer, bills, List.of(), callTimeout),
                writer,
                copyTracker);
    }

    /**
     * Answers a peer's request to keep copies of its bills and to delete others. The copies are
     * refused while this process is stopping or if it has too many for that peer.
     */
    CompletableFuture<byte[]> onHoldRequest(byte[] body) {
        return control.submit(
                () -> {
                    try {
                        HoldMessage message = MessageCodec.decode(body, new HoldMessage());
                        return MessageCodec.encode(new HoldReply(applyHoldRequest(message)));
                    } catch (CodecException e) {
                        throw new CompletionException(e);
                    }
                });
    }

    /**
     * Writes this process's bills and the copies it keeps for others; completes with true once all
     * are durable.
     */
    CompletableFuture<Boolean> flush() {
        control.execute(() -> ledger.ownersOfHeldBills().forEach(ledger::takeOverFrom));
        return writer.flush();
    }

    private boolean applyHoldRequest(HoldMessage message) {
        NodeId owner = new NodeId(message.getOwner());
        ownerLastSeenNanos.put(owner, control.nanoTime());
        ledger.dropHeldBills(owner, message.getDrop());
        List<Bill> bills = message.getHold().stream().map(BillCodec::fromMessage).toList();
        return !state.isStopping() && ledger.holdFor(owner, bills);
    }

    private CompletableFuture<Boolean> sendHoldRequest(
            Peer peer, List<Bill> billsToKeep, List<String> keysToDrop, Duration timeout) {
        HoldMessage message = new HoldMessage();
        message.setOwner(state.controlState().identity().incarnationId().value());
        message.setOwnerEpoch(state.controlState().identity().startMillis());
        message.setHold(billsToKeep.stream().map(BillCodec::toMessage).toList());
        message.setDrop(keysToDrop);
        try {
            return transport
                    .call(peer.address(), HOLD_PATH, MessageCodec.encode(message), timeout)
                    .thenApply(BillKeeper::isCopyKept)
                    .exceptionally(failure -> false);
        } catch (CodecException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private static boolean isCopyKept(byte[] reply) {
        try {
            return MessageCodec.decode(reply, new HoldReply()).isHeld();
        } catch (CodecException e) {
            return false;
        }
    }

    private void writeBatchAndSendDrops() {
        writer.writeNextBatch();
        for (Peer peer : state.controlState().peers().liveEntries(control.nanoTime())) {
            List<String> keysToDrop = copyTracker.takeDroppableKeys(peer.node());
            if (!keysToDrop.isEmpty()) {
                sendHoldRequest(peer, List.of(), keysToDrop, COPY_TIMEOUT);
            }
        }
        copyTracker.clearDroppableKeys();
    }

    private void recoverBills() {
        takeOverFromSilentOwners();
        replaceLostCopies();
    }

    private void takeOverFromSilentOwners() {
        long nowNanos = control.nanoTime();
        for (NodeId owner : ledger.ownersOfHeldBills()) {
            long lastSeenNanos = ownerLastSeenNanos.getOrDefault(owner, nowNanos);
            if (nowNanos - lastSeenNanos > OWNER_SILENCE_TIMEOUT.toNanos()) {
                int count = ledger.takeOverFrom(owner);
                LOG.atInfo().addKeyValue("owner", owner).addKeyValue("bills", count).log("adopted");
            }
        }
        ownerLastSeenNanos.keySet().retainAll(ledger.ownersOfHeldBills());
    }

    /** Sends the bills whose copy was kept by a peer that is no longer live to another peer. */
    private void replaceLostCopies() {
        long nowNanos = control.nanoTime();
        List<NodeId> livePeers =
                state.controlState().peers().liveEntries(nowNanos).stream()
                        .map(Peer::node)
                        .toList();
        List<Bill> bills = new ArrayList<>();
        copyTracker
                .takeKeysOfLostCopies(livePeers)
                .forEach(key -> ledger.findPending(key).ifPresent(bills::add));
        Optional<Peer> peer = state.controlState().pickPeerInOtherZone(List.of(), nowNanos);
        if (bills.isEmpty() || peer.isEmpty()) {
            return;
        }
        sendHoldRequest(peer.get(), bills, List.of(), COPY_TIMEOUT)
                .thenAccept(
                        kept -> control.execute(() -> onCopiesReplaced(bills, peer.get(), kept)));
    }

    private void onCopiesReplaced(List<Bill> bills, Peer peer, boolean kept) {
        if (!kept) {
            return;
        }
        for (Bill bill : bills) {
            copyTracker.onCopyStored(
                    bill.rowKey(), peer, ledger.findPending(bill.rowKey()).isEmpty());
        }
    }
}
