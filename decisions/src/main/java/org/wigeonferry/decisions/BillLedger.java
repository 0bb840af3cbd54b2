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
 * Bills on their way to the table service: this process's own and those it holds for others.
 *
 * <p>Invariants: a bill leaves only when the store has said that it is there; a bill is in at most
 * one write at a time; the store inserts a bill only if absent, so writing one twice is harmless.
 * Not thread safe; owned by the control thread.
 */
public final class BillLedger {
    private final int capacity;
    private final Map<String, Bill> own = new LinkedHashMap<>();
    private final Set<String> writing = new HashSet<>();
    private final Map<NodeId, Map<String, Bill>> held = new HashMap<>();

    /** Holds at most {@code capacity} bills of each owner. */
    public BillLedger(int capacity) {
        this.capacity = capacity;
    }

    /** Takes a bill of this process's own; tells whether there is room. */
    public boolean add(Bill bill) {
        if (own.size() >= capacity) {
            return false;
        }
        own.putIfAbsent(bill.key(), bill);
        return true;
    }

    /** Bills for the next write, oldest first. */
    public List<Bill> claimNextBatch(int max) {
        List<Bill> batch =
                own.values().stream()
                        .filter(bill -> !writing.contains(bill.key()))
                        .limit(max)
                        .toList();
        batch.forEach(bill -> writing.add(bill.key()));
        return batch;
    }

    /** Notes that the store has these bills, by this write or an earlier one. */
    public void onBillsStored(Collection<String> keys) {
        keys.forEach(
                key -> {
                    own.remove(key);
                    writing.remove(key);
                });
    }

    /** Notes that nothing is known of these bills; they are written again. */
    public void onWriteOutcomeUnknown(Collection<String> keys) {
        writing.removeAll(new HashSet<>(keys));
    }

    /** Holds bills for another process; tells whether there was room for all. */
    public boolean holdFor(NodeId owner, Collection<Bill> bills) {
        Map<String, Bill> ofOwner = held.computeIfAbsent(owner, key -> new LinkedHashMap<>());
        if (ofOwner.size() + bills.size() > capacity) {
            return false;
        }
        bills.forEach(bill -> ofOwner.put(bill.key(), bill));
        return true;
    }

    /** Drops bills that their owner knows to be durable. */
    public void dropHeld(NodeId owner, Collection<String> keys) {
        Optional.ofNullable(held.get(owner)).ifPresent(bills -> keys.forEach(bills::remove));
        held.computeIfPresent(owner, (id, bills) -> bills.isEmpty() ? null : bills);
    }

    /** Takes over the bills of an owner that is gone. */
    public int takeOverFrom(NodeId owner) {
        Map<String, Bill> bills = held.remove(owner);
        if (bills == null) {
            return 0;
        }
        bills.forEach(own::putIfAbsent);
        return bills.size();
    }

    /** Processes for which bills are held. */
    public List<NodeId> ownersOfHeldBills() {
        return new ArrayList<>(held.keySet());
    }

    /** Finds a bill of this process's own that is not durable. */
    public Optional<Bill> findPending(String key) {
        return Optional.ofNullable(own.get(key));
    }

    /** Number of this process's own bills that are not durable. */
    public int pendingCount() {
        return own.size();
    }

    /** Number of bills held for others. */
    public int heldCount() {
        return held.values().stream().mapToInt(Map::size).sum();
    }
}
