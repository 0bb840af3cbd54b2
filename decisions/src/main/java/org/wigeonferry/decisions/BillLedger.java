package org.wigeonferry.decisions;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.wigeonferry.core_types.Bill;
import org.wigeonferry.core_types.NodeId;

/**
 * Bills that are not yet stored in the table service: this process's own bills, and copies that it
 * holds for other processes.
 *
 * <p>Invariants: an own bill is removed only after the table service has confirmed that it is
 * stored; a bill is part of at most one write at a time; the table service inserts a bill only if
 * it is absent, so writing one twice is harmless. Not thread safe; owned by the control thread.
 */
public final class BillLedger {
    private final int maxBillsPerOwner;
    private final Map<String, Bill> ownBills = new LinkedHashMap<>();
    private final Set<String> keysBeingWritten = new HashSet<>();
    private final Map<NodeId, Map<String, Bill>> heldBillsByOwner = new HashMap<>();

    /** Accepts at most {@code maxBillsPerOwner} bills from each owner, this process included. */
    public BillLedger(int maxBillsPerOwner) {
        this.maxBillsPerOwner = maxBillsPerOwner;
    }

    /**
     * Adds a bill of this process; returns false if the ledger is full, even if it has the bill
     * already.
     */
    public boolean add(Bill bill) {
        if (ownBills.size() >= maxBillsPerOwner) {
            return false;
        }
        ownBills.putIfAbsent(bill.rowKey(), bill);
        return true;
    }

    /**
     * Returns the bills for the next write, oldest first, and marks them as being written until
     * {@link #onBillsStored} or {@link #onWriteOutcomeUnknown} reports the outcome.
     */
    public List<Bill> claimNextBatch(int maxBills) {
        List<Bill> batch =
                ownBills.values().stream()
                        .filter(bill -> !keysBeingWritten.contains(bill.rowKey()))
                        .limit(maxBills)
                        .toList();
        batch.forEach(bill -> keysBeingWritten.add(bill.rowKey()));
        return batch;
    }

    /** Records that the table service has stored these bills, in this write or an earlier one. */
    public void onBillsStored(Collection<String> keys) {
        keys.forEach(
                key -> {
                    ownBills.remove(key);
                    keysBeingWritten.remove(key);
                });
    }

    /** Records that it is unknown whether these bills were stored; they are written again. */
    public void onWriteOutcomeUnknown(Collection<String> keys) {
        keysBeingWritten.removeAll(new HashSet<>(keys));
    }

    /** Holds bills for another process; returns false and holds none if not all of them fit. */
    public boolean holdFor(NodeId owner, Collection<Bill> bills) {
        Map<String, Bill> heldBills =
                heldBillsByOwner.computeIfAbsent(owner, key -> new LinkedHashMap<>());
        if (heldBills.size() + bills.size() > maxBillsPerOwner) {
            return false;
        }
        bills.forEach(bill -> heldBills.put(bill.rowKey(), bill));
        return true;
    }

    /** Drops held bills that their owner knows to be stored. */
    public void dropHeldBills(NodeId owner, Collection<String> keys) {
        Optional.ofNullable(heldBillsByOwner.get(owner))
                .ifPresent(bills -> keys.forEach(bills::remove));
        heldBillsByOwner.computeIfPresent(owner, (id, bills) -> bills.isEmpty() ? null : bills);
    }

    /**
     * Takes over the bills held for a process that is no longer alive, and returns their number.
     * They become own bills, even if that exceeds the maximum.
     */
    public int takeOverFrom(NodeId owner) {
        Map<String, Bill> bills = heldBillsByOwner.remove(owner);
        if (bills == null) {
            return 0;
        }
        bills.forEach(ownBills::putIfAbsent);
        return bills.size();
    }

    /** Returns the processes for which bills are held. */
    public List<NodeId> ownersOfHeldBills() {
        return new ArrayList<>(heldBillsByOwner.keySet());
    }

    /** Finds a bill of this process that is not confirmed as stored. */
    public Optional<Bill> findPending(String key) {
        return Optional.ofNullable(ownBills.get(key));
    }

    /** Returns the number of this process's bills that are not confirmed as stored. */
    public int pendingCount() {
        return ownBills.size();
    }

    /** Returns the number of bills held for other processes. */
    public int heldCount() {
        return heldBillsByOwner.values().stream().mapToInt(Map::size).sum();
    }
}
