package org.wigeonferry.entry;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.wigeonferry.core_types.Bill;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.decisions.BillLedger;
import org.wigeonferry.decisions.Peer;
import org.wigeonferry.node_runtime.ControlExecutor;

/**
 * Secures one bill: in each round asks peers of other availability zones in turn to keep a copy,
 * and then writes the bill to the table service, until one of them has stored it.
 *
 * <p>A failed round is followed by another one with a longer timeout as long as the caller may
 * still be answered, because the upstream's work is done and costs the same if the answer is
 * discarded. Not thread safe; owned by the control thread.
 */
final class BillSecuringTask {
    private static final int MAX_PEERS_PER_ROUND = 3;
    private static final Duration MIN_COPY_TIMEOUT = Duration.ofMillis(400);
    private static final Duration PAUSE_BETWEEN_ROUNDS = Duration.ofMillis(100);

    private final Bill bill;
    private final long deadlineNanos;
    private final ControlExecutor control;
    private final EntryState state;
    private final BillReplicator replicator;
    private final BillWriter writer;
    private final BillCopyTracker copyTracker;
    private final Set<NodeId> triedPeers = new HashSet<>();
    private final CompletableFuture<Boolean> secured = new CompletableFuture<>();
    private Duration copyTimeout = MIN_COPY_TIMEOUT;

    BillSecuringTask(
            Bill bill,
            Duration timeout,
            ControlExecutor control,
            EntryState state,
            BillReplicator replicator,
            BillWriter writer,
            BillCopyTracker copyTracker) {
        this.bill = bill;
        this.deadlineNanos = control.nanoTime() + timeout.toNanos();
        this.control = control;
        this.state = state;
        this.replicator = replicator;
        this.writer = writer;
        this.copyTracker = copyTracker;
    }

    /**
     * Starts the first round, which is completed even if the deadline has passed. The result is
     * false if the bill was not secured before the deadline.
     */
    CompletableFuture<Boolean> start() {
        askNextPeer();
        return secured;
    }

    private void askNextPeer() {
        if (isDurable()) {
            secured.complete(true);
            return;
        }
        Optional<Peer> peer =
                state.controlState().pickPeerInOtherZone(triedPeers, control.nanoTime());
        if (peer.isEmpty() || triedPeers.size() == MAX_PEERS_PER_ROUND) {
            writeToTable();
            return;
        }
        triedPeers.add(peer.get().node());
        replicator
                .replicate(peer.get(), List.of(bill), nextCopyTimeout())
                .whenComplete(
                        (kept, failure) ->
                                control.execute(
                                        () -> onReply(peer.get(), failure == null && kept)));
    }

    /**
     * Returns the timeout of the next call. It doubles from round to round and is cut to the time
     * left, but never below the minimum, so that a last short call remains at the deadline.
     */
    private Duration nextCopyTimeout() {
        Duration timeLeft = Duration.ofNanos(deadlineNanos - control.nanoTime());
        Duration maxTimeout =
                timeLeft.compareTo(MIN_COPY_TIMEOUT) > 0 ? timeLeft : MIN_COPY_TIMEOUT;
        return copyTimeout.compareTo(maxTimeout) < 0 ? copyTimeout : maxTimeout;
    }

    private void onReply(Peer peer, boolean kept) {
        if (!kept) {
            askNextPeer();
            return;
        }
        copyTracker.onCopyStored(bill.rowKey(), peer, isDurable());
        secured.complete(true);
    }

    private void writeToTable() {
        writer.writeSingle(bill)
                .thenAccept(written -> control.execute(() -> onTableWrite(written)));
    }

    private void onTableWrite(boolean written) {
        if (written || isDurable()) {
            secured.complete(true);
            return;
        }
        if (control.nanoTime() - deadlineNanos >= 0) {
            secured.complete(false);
            return;
        }
        triedPeers.clear();
        copyTimeout = copyTimeout.multipliedBy(2);
        control.schedule(PAUSE_BETWEEN_ROUNDS, this::askNextPeer);
    }

    /** Tells whether the bill is stored, by this task or by a periodic batch in the meantime. */
    private boolean isDurable() {
        BillLedger ledger = state.billLedger();
        return ledger.findPending(bill.rowKey()).isEmpty();
    }
}
