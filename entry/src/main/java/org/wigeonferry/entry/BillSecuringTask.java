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
 * Secures one bill: asks peers of other availability zones, then the store, round after round.
 *
 * <p>A round that found nobody is followed by another with a longer timeout as long as the caller
 * may still be answered: the work is done, and an answer that is thrown away is paid for all the
 * same. Not thread safe; owned by the control thread.
 */
final class BillSecuringTask {
    private static final int MAX_HOLD_TRIES = 3;
    private static final Duration FIRST_HOLD_TIMEOUT = Duration.ofMillis(400);
    private static final Duration PAUSE = Duration.ofMillis(100);

    private final Bill bill;
    private final long endNanos;
    private final ControlExecutor control;
    private final EntryState state;
    private final BillReplicator peers;
    private final BillWriter writer;
    private final BillCopyTracker holders;
    private final Set<NodeId> tried = new HashSet<>();
    private final CompletableFuture<Boolean> secured = new CompletableFuture<>();
    private Duration holdTimeout = FIRST_HOLD_TIMEOUT;

    BillSecuringTask(
            Bill bill,
            Duration within,
            ControlExecutor control,
            EntryState state,
            BillReplicator peers,
            BillWriter writer,
            BillCopyTracker holders) {
        this.bill = bill;
        this.endNanos = control.nanoTime() + within.toNanos();
        this.control = control;
        this.state = state;
        this.peers = peers;
        this.writer = writer;
        this.holders = holders;
    }

    /** Begins; at least one round is made, however little time is left. */
    CompletableFuture<Boolean> start() {
        nextPeer();
        return secured;
    }

    private void nextPeer() {
        if (durable()) {
            secured.complete(true);
            return;
        }
        Optional<Peer> peer = state.controlState().pickPeerInOtherZone(tried, control.nanoTime());
        if (peer.isEmpty() || tried.size() == MAX_HOLD_TRIES) {
            askStore();
            return;
        }
        tried.add(peer.get().node());
        peers.replicate(peer.get(), List.of(bill), timeout())
                .whenComplete(
                        (held, failure) ->
                                control.execute(
                                        () -> onReply(peer.get(), failure == null && held)));
    }

    /** Grows from round to round, but not past the end, at which a last short try is left. */
    private Duration timeout() {
        Duration left = Duration.ofNanos(endNanos - control.nanoTime());
        Duration longest = left.compareTo(FIRST_HOLD_TIMEOUT) > 0 ? left : FIRST_HOLD_TIMEOUT;
        return holdTimeout.compareTo(longest) < 0 ? holdTimeout : longest;
    }

    private void onReply(Peer peer, boolean held) {
        if (!held) {
            nextPeer();
            return;
        }
        holders.onCopyStored(bill.rowKey(), peer, durable());
        secured.complete(true);
    }

    private void askStore() {
        writer.writeSingle(bill).thenAccept(written -> control.execute(() -> onStore(written)));
    }

    private void onStore(boolean written) {
        if (written || durable()) {
            secured.complete(true);
            return;
        }
        if (control.nanoTime() - endNanos >= 0) {
            secured.complete(false);
            return;
        }
        tried.clear();
        holdTimeout = holdTimeout.multipliedBy(2);
        control.schedule(PAUSE, this::nextPeer);
    }

    /** A batch in the background may have written it meanwhile. */
    private boolean durable() {
        BillLedger ledger = state.billLedger();
        return ledger.findPending(bill.rowKey()).isEmpty();
    }
}
