package org.wigeonferry.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.core_types.Bill;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.RowPut;
import org.wigeonferry.core_types.TableTransaction;
import org.wigeonferry.core_types.TransactResult;
import org.wigeonferry.core_types.WriteOutcome;
import org.wigeonferry.decisions.BillLedger;
import org.wigeonferry.decisions.Peer;
import org.wigeonferry.messages.Codec;
import org.wigeonferry.messages.CodecException;
import org.wigeonferry.messages.gen.HoldMessage;
import org.wigeonferry.messages.gen.HoldReply;
import org.wigeonferry.node_runtime.Control;
import org.wigeonferry.node_runtime.NodeMetrics;
import org.wigeonferry.node_runtime.PeerCalls;
import org.wigeonferry.platform_clients.TableService;

/**
 * Keeps bills until the table service has them.
 *
 * <p>A bill is secured once an entry of another availability zone holds it too, or the store has
 * it. Each entry writes its bills in batches; the holder drops a bill at its owner's word, and
 * writes it itself once the owner is gone. State is touched on the control thread only. Thread
 * safe.
 */
final class BillKeeper {
    static final String HOLD_PATH = "/peer/hold";

    private static final Logger LOG = LoggerFactory.getLogger(BillKeeper.class);
    private static final int MAX_BATCH = 256;
    private static final int MAX_HOLD_TRIES = 3;
    private static final int MAX_STORE_TRIES = 5;
    private static final Duration HOLD_TIMEOUT = Duration.ofMillis(400);

    /** How long an owner may be silent before its bills are written by their holder. */
    private static final Duration OWNER_SILENCE = Duration.ofSeconds(10);

    private final Control control;
    private final EntryState state;
    private final BillLedger ledger;
    private final PeerCalls calls;
    private final TableService table;
    private final NodeMetrics metrics;
    private final java.util.Map<NodeId, List<String>> drops = new java.util.HashMap<>();
    private final java.util.Map<String, Peer> heldBy = new java.util.HashMap<>();
    private final java.util.Map<NodeId, Long> ownerSeenNanos = new java.util.HashMap<>();

    BillKeeper(
            Control control,
            EntryState state,
            PeerCalls calls,
            TableService table,
            NodeMetrics metrics) {
        this.control = control;
        this.state = state;
        this.ledger = state.bills();
        this.calls = calls;
        this.table = table;
        this.metrics = metrics;
    }

    /** Begins to write batches. */
    void start(Duration period) {
        control.every(period, this::writeBatch);
        control.every(OWNER_SILENCE.dividedBy(2), this::adoptSilent);
    }

    /** Secures a bill; false if neither a second host nor the store could take it. */
    CompletableFuture<Boolean> secure(Bill bill) {
        return control.ask(
                        () -> {
                            if (!ledger.add(bill)) {
                                return CompletableFuture.completedFuture(false);
                            }
                            return holdAtPeer(bill, new HashSet<>(), MAX_HOLD_TRIES);
                        })
                .thenCompose(secured -> secured);
    }

    /** Holds bills for a peer. */
    CompletableFuture<byte[]> onHold(byte[] body) {
        return control.ask(
                () -> {
                    try {
                        HoldMessage message = Codec.decode(body, new HoldMessage());
                        NodeId owner = new NodeId(message.getOwner());
                        ownerSeenNanos.put(owner, control.nanoTime());
                        ledger.drop(owner, message.getDrop());
                        List<Bill> bills = message.getHold().stream().map(Bills::toBill).toList();
                        return Codec.encode(new HoldReply(ledger.hold(owner, bills)));
                    } catch (CodecException e) {
                        throw new java.util.concurrent.CompletionException(e);
                    }
                });
    }

    /** Writes what is pending; the future says when nothing is left or the store gave up. */
    CompletableFuture<Boolean> flush() {
        return control.ask(() -> flushOnControl(MAX_STORE_TRIES)).thenCompose(done -> done);
    }

    private CompletableFuture<Boolean> holdAtPeer(Bill bill, Set<NodeId> tried, int triesLeft) {
        Optional<Peer> peer = state.shared().otherZonePeer(tried, control.nanoTime());
        if (peer.isEmpty() || triesLeft == 0) {
            return writeNow(bill, MAX_STORE_TRIES);
        }
        tried.add(peer.get().node());
        return sendHold(peer.get(), List.of(bill), List.of())
                .thenCompose(
                        held ->
                                control.ask(
                                                () -> {
                                                    if (held) {
                                                        noteHolder(bill, peer.get());
                                                        return CompletableFuture.completedFuture(
                                                                true);
                                                    }
                                                    return holdAtPeer(bill, tried, triesLeft - 1);
                                                })
                                        .thenCompose(done -> done));
    }

    private void noteHolder(Bill bill, Peer peer) {
        heldBy.put(bill.key(), peer);
    }

    private CompletableFuture<Boolean> sendHold(Peer peer, List<Bill> hold, List<String> drop) {
        HoldMessage message = new HoldMessage();
        message.setOwner(state.shared().identity().incarnation().value());
        message.setOwnerEpoch(state.shared().identity().epoch());
        message.setHold(hold.stream().map(Bills::toMessage).toList());
        message.setDrop(drop);
        try {
            return calls.call(peer.address(), HOLD_PATH, Codec.encode(message), HOLD_TIMEOUT)
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

    private CompletableFuture<Boolean> writeNow(Bill bill, int triesLeft) {
        return table.transact(TableTransaction.insert(List.of(Bills.toRow(bill))))
                .thenCompose(
                        result -> {
                            if (result.outcome() != WriteOutcome.UNKNOWN) {
                                return control.ask(
                                        () -> {
                                            ledger.onDurable(List.of(bill.key()));
                                            return true;
                                        });
                            }
                            if (triesLeft == 0) {
                                return CompletableFuture.completedFuture(false);
                            }
                            return writeNow(bill, triesLeft - 1);
                        });
    }

    private CompletableFuture<Boolean> flushOnControl(int triesLeft) {
        if (ledger.pending() == 0 || triesLeft == 0) {
            return CompletableFuture.completedFuture(ledger.pending() == 0);
        }
        return writeBatch()
                .thenCompose(
                        applied ->
                                control.ask(
                                                () ->
                                                        flushOnControl(
                                                                applied
                                                                        ? MAX_STORE_TRIES
                                                                        : triesLeft - 1))
                                        .thenCompose(done -> done));
    }

    private CompletableFuture<Boolean> writeBatch() {
        sendDrops();
        List<Bill> batch = ledger.nextBatch(MAX_BATCH);
        if (batch.isEmpty()) {
            return CompletableFuture.completedFuture(true);
        }
        List<RowPut> rows = batch.stream().map(Bills::toRow).toList();
        return table.transact(TableTransaction.insert(rows))
                .thenCompose(result -> control.ask(() -> onBatch(batch, result)));
    }

    private boolean onBatch(List<Bill> batch, TransactResult result) {
        List<String> keys = new ArrayList<>(batch.stream().map(Bill::key).toList());
        metrics.count("bill_batches", "outcome", result.outcome().name());
        if (result.outcome() == WriteOutcome.UNKNOWN) {
            ledger.onUnknown(keys);
            return false;
        }
        if (result.outcome() == WriteOutcome.REFUSED) {
            keys.removeAll(new HashSet<>(result.failedKeys()));
            ledger.onUnknown(keys);
            durable(result.failedKeys());
            return true;
        }
        durable(keys);
        return true;
    }

    private void durable(List<String> keys) {
        ledger.onDurable(keys);
        for (String key : keys) {
            Optional.ofNullable(heldBy.remove(key))
                    .ifPresent(
                            peer ->
                                    drops.computeIfAbsent(peer.node(), n -> new ArrayList<>())
                                            .add(key));
        }
        sendDrops();
    }

    private void sendDrops() {
        for (Peer peer : state.shared().peers().live(control.nanoTime())) {
            Optional.ofNullable(drops.remove(peer.node()))
                    .ifPresent(keys -> sendHold(peer, List.of(), keys));
        }
        drops.clear();
    }

    private void adoptSilent() {
        long now = control.nanoTime();
        for (NodeId owner : ledger.owners()) {
            long seen = ownerSeenNanos.getOrDefault(owner, now);
            if (now - seen > OWNER_SILENCE.toNanos()) {
                int count = ledger.adopt(owner);
                ownerSeenNanos.remove(owner);
                LOG.atInfo().addKeyValue("owner", owner).addKeyValue("bills", count).log("adopted");
            }
        }
        ownerSeenNanos.keySet().retainAll(ledger.owners());
    }
}
