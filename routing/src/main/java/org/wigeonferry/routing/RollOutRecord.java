package org.wigeonferry.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What the store holds of the roll-outs of all services: orders, starts, states and traffic moves,
 * and what it held of them before it came back from an older copy.
 *
 * <p>Invariants: a start, a state or a move counts only for the newest order of its service, in
 * whichever order they are read. An order that is written again after the store has lost it goes on
 * as the same roll-out, and one that is finished stays so, whatever the store has lost. Owned by
 * the control thread.
 */
final class RollOutRecord {
    /** Time after a restore of the store in which an order may be one that is written again. */
    private static final Duration REWRITE_TIME = Duration.ofSeconds(10);

    private final Map<String, RollOut> orders = new HashMap<>();

    /** The order before the newest one, by service. */
    private final Map<String, RollOut> previousOrders = new HashMap<>();

    private final Map<String, RollOutStart> starts = new HashMap<>();
    private final Map<String, RollOutStatus> statuses = new HashMap<>();
    private final Map<String, TrafficMove> moves = new HashMap<>();

    /** Final states that hold though the store may have lost them, by service. */
    private final Map<String, RollOutStatus> keptFinalStatuses = new HashMap<>();

    /** Services whose traffic move the store has lost, or holds for another order. */
    private final Set<String> servicesWithLostMove = new HashSet<>();

    private Optional<Long> restoredNanos = Optional.empty();

    /** Records that the store has come back from an older copy. */
    void onStoreRestored(long nowNanos) {
        restoredNanos = Optional.of(nowNanos);
        statuses.keySet().forEach(this::keepFinalStatus);
    }

    /**
     * Applies an order; true if it starts a roll-out.
     *
     * <p>After a restore the revision of an order may be lower than that of an earlier one, and one
     * with the same content is the same order, written again.
     *
     * @param order an order that was just read, and starts at that time
     */
    boolean applyOrder(RollOut order) {
        String service = order.service();
        RollOut known = orders.get(service);
        boolean mayBeRewritten =
                restoredNanos
                        .filter(t -> order.startNanos() - t < REWRITE_TIME.toNanos())
                        .isPresent();
        if (known != null && mayBeRewritten) {
            if (known.hasSameContent(order)) {
                onOrderRewritten(known, order.revision());
                return false;
            }
            if (order.hasSameContent(previousOrders.get(service))) {
                return false;
            }
        } else if (known != null && known.revision() >= order.revision()) {
            return false;
        }
        if (known != null) {
            previousOrders.put(service, known);
        }
        if (known != null || !mayBeRewritten) {
            keptFinalStatuses.remove(service);
        }
        orders.put(service, order);
        applyStartToOrder(service);
        return true;
    }

    /** Drops the order of a service; the status stays. */
    void removeOrder(String service) {
        orders.remove(service);
    }

    void applyStart(RollOutStart start) {
        starts.put(start.service(), start);
        applyStartToOrder(start.service());
    }

    void applyStatus(RollOutStatus status) {
        statuses.put(status.service(), status);
    }

    /** Records that the store holds no status of a service; a final one still holds. */
    void removeStatus(String service) {
        keepFinalStatus(service);
        statuses.remove(service);
    }

    /** Applies a move; the first start of an order's move counts. */
    void applyMove(TrafficMove move) {
        String service = move.service();
        TrafficMove known = moves.get(service);
        if (known == null || isLater(move, known)) {
            moves.put(service, move);
            servicesWithLostMove.remove(service);
            return;
        }
        moves.put(service, known.withRevision(move.revision()));
        if (move.orderRevision() == known.orderRevision()) {
            servicesWithLostMove.remove(service);
        }
    }

    /** Records that the store holds no move of a service; the known one still holds. */
    void removeMove(String service) {
        TrafficMove known = moves.get(service);
        if (known != null) {
            moves.put(service, known.withRevision(0));
            servicesWithLostMove.add(service);
        }
    }

    /** The newest order of each service. */
    List<RollOut> orders() {
        return List.copyOf(orders.values());
    }

    /** The newest order of a service. */
    Optional<RollOut> order(String service) {
        return Optional.ofNullable(orders.get(service));
    }

    /** The last status of a service in the store, possibly of an earlier order. */
    Optional<RollOutStatus> status(String service) {
        return Optional.ofNullable(statuses.get(service));
    }

    /** Whether a status says that a roll-out is running, also if its order has not been read. */
    boolean hasRunningStatus() {
        return statuses.values().stream().anyMatch(s -> s.state() == RollOutState.RUNNING);
    }

    /** The last move of a service's traffic, possibly of an earlier order. */
    Optional<TrafficMove> move(String service) {
        return Optional.ofNullable(moves.get(service));
    }

    /** The state of an order; empty if none has been read. */
    Optional<RollOutState> state(RollOut order) {
        Optional<RollOutState> kept =
                Optional.ofNullable(keptFinalStatuses.get(order.service()))
                        .filter(status -> status.release().equals(order.release()))
                        .map(RollOutStatus::state);
        return kept.isPresent() ? kept : storedState(order);
    }

    /** Whether the store holds the state of an order. */
    boolean isStateStored(RollOut order) {
        return state(order).equals(storedState(order));
    }

    /** The traffic move of an order. */
    Optional<TrafficMove> moveOf(RollOut order) {
        return move(order.service()).filter(move -> move.orderRevision() == order.revision());
    }

    /** The traffic move of an order, if the store has lost it. */
    Optional<TrafficMove> lostMoveOf(RollOut order) {
        return moveOf(order).filter(move -> servicesWithLostMove.contains(move.service()));
    }

    /** The release that was rolled back last, unless another state followed. */
    Optional<String> rolledBackRelease(String service) {
        Optional<RollOutStatus> kept = Optional.ofNullable(keptFinalStatuses.get(service));
        return (kept.isPresent() ? kept : status(service))
                .filter(status -> status.state() == RollOutState.ROLLED_BACK)
                .map(RollOutStatus::release);
    }

    private Optional<RollOutState> storedState(RollOut order) {
        return status(order.service())
                .filter(status -> status.release().equals(order.release()))
                .filter(status -> status.revision() > order.revision())
                .map(RollOutStatus::state);
    }

    private void keepFinalStatus(String service) {
        RollOutStatus status = statuses.get(service);
        RollOut order = orders.get(service);
        boolean isOfOrder = order == null || storedState(order).isPresent();
        if (status != null && status.state() != RollOutState.RUNNING && isOfOrder) {
            keptFinalStatuses.put(service, status);
        }
    }

    private void onOrderRewritten(RollOut known, long revision) {
        String service = known.service();
        orders.put(service, known.withRevision(revision));
        if (revision == known.revision()) {
            return;
        }
        moveOf(known)
                .ifPresent(
                        move -> {
                            moves.put(service, move.withOrderRevision(revision));
                            servicesWithLostMove.add(service);
                        });
    }

    /** Whether a move is of another order than the known one, and not of an earlier one. */
    private boolean isLater(TrafficMove move, TrafficMove known) {
        boolean knownIsOfNewestOrder =
                order(move.service())
                        .filter(order -> order.revision() == known.orderRevision())
                        .isPresent();
        return knownIsOfNewestOrder
                ? move.orderRevision() > known.orderRevision()
                : move.orderRevision() != known.orderRevision();
    }

    private void applyStartToOrder(String service) {
        RollOut order = orders.get(service);
        RollOutStart start = starts.get(service);
        if (order != null && start != null && start.orderRevision() == order.revision()) {
            orders.put(service, order.startingAt(start.startNanos()));
        }
    }
}
