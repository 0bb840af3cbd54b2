package org.wigeonferry.entry;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.wigeonferry.core_types.Bill;
import org.wigeonferry.decisions.Peer;

/** Asks a peer to keep copies of bills until the table service has stored them. */
@FunctionalInterface
interface BillReplicator {
    /**
     * Sends the bills once; sending a bill again is harmless. The result is false if the peer
     * refused, could not be reached or did not answer within the timeout.
     */
    CompletableFuture<Boolean> replicate(Peer peer, List<Bill> bills, Duration timeout);
}
