package org.wigeonferry.entry;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.wigeonferry.core_types.Bill;
import org.wigeonferry.decisions.Peer;

/** Asks a peer to hold bills; false if it refused or gave no answer in time. */
@FunctionalInterface
interface BillReplicator {
    /** Sends the bills once; holding one twice is harmless. */
    CompletableFuture<Boolean> replicate(Peer peer, List<Bill> bills, Duration timeout);
}
