package org.wigeonferry.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What the store holds of the roll-outs of all services: orders, starts, states and traffic moves.
 *
 * <p>Invariant: a start, a state or a move counts only for the newest order of its service, in
 * whichever order they are read. Owned by the control thread.
 */
final class RollOutRecord {
    private final Map<String, RollOut> orders = new HashMap<>();
    private final Map<String, RollOutStart> starts = new HashMap<>();
    private final Map<String, RollOutStatus> statuses = new HashMap<>();
    private final Map<String, TrafficMove> moves = new HashMap<>();

    /** Applies an order; false, with no change, if this order or a newer one is known. */
    boolean applyOrder(RollOut order) {
        RollOut known = orders.get(order.service());
        if (known != null && known.revision() >= order.revision()) {
            return false;
        }
        orders.put(order.service(), order);
        applyStartToOrder(order.service());
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

    /** Applies a move; the first start of an order's move counts. */
    void applyMove(TrafficMove move) {
        TrafficMove known = moves.get(move.service());
        if (known == null || known.orderRevision() != move.orderRevision()) {
            moves.put(move.service(), move);
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

    /** The last status of a service, possibly of an earlier order. */
    Optional<RollOutStatus> status(String service) {
        return Optional.ofNullable(statuses.get(service));
    }

    /** The last move of a service's traffic, possibly of an earlier order. */
    Optional<TrafficMove> move(String service) {
        return Optional.ofNullable(moves.get(service));
    }

    /** The state of an order; empty if none has been read. */
    Optional<RollOutState> state(RollOut order) {
        return status(order.service())
                .filter(status -> status.release().equals(order.release()))
                .filter(status -> status.revision() > order.revision())
                .map(RollOutStatus::state);
    }

    /** The traffic move of an order. */
    Optional<TrafficMove> moveOf(RollOut order) {
        return move(order.service()).filter(move -> move.orderRevision() == order.revision());
    }

    /** The release that was rolled back last, unless another state followed. */
    Optional<String> rolledBackRelease(String service) {
        return status(service)
                .filter(status -> status.state() == RollOutState.ROLLED_BACK)
                .map(RollOutStatus::release);
    }

    private void applyStartToOrder(String service) {
        RollOut order = orders.get(service);
        RollOutStart start = starts.get(service);
        if (order != null && start != null && start.orderRevision() == order.revision()) {
            orders.put(service, order.startingAt(start.startNanos()));
        }
    }
}
