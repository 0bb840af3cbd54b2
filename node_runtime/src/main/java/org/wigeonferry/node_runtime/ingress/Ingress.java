package org.wigeonferry.node_runtime.ingress;

import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.node_runtime.NodeMetrics;

/**
 * The connections of all callers of a process, and the limits that they share.
 *
 * <p>When a limit is reached, the slowest connection is closed in favor of the caller that needs
 * room; if none is slow, that caller is refused. Thread safe.
 */
public final class Ingress {
    private static final Logger LOG = LoggerFactory.getLogger("ingress");

    /** The limit of connections, divided by this, may be exceeded while others are being closed. */
    private static final int CLOSING_EXCESS_DIVISOR = 4;

    private final int maxConnections;
    private final HeadLimits headLimits;
    private final ByteBudget budget;
    private final LeastRates rates;
    private final SlowestChoice choice;
    private final NodeMetrics metrics;
    private final Set<GuardedConnection> connections = ConcurrentHashMap.newKeySet();

    /** All that hold a descriptor, those included that have been told to close. */
    private final AtomicInteger openConnections = new AtomicInteger();

    private final CopyOnWriteArrayList<BooleanSupplier> pressures = new CopyOnWriteArrayList<>();

    /** Creates the limits of a process, and their gauges. */
    public Ingress(IngressLimits limits, NodeMetrics metrics) {
        maxConnections = limits.connections();
        headLimits = new HeadLimits(limits.headerFields(), limits.pipelinedRequests());
        budget = new ByteBudget(limits.heldBytes());
        rates = new LeastRates(limits.sendBytesPerSecond(), limits.readBytesPerSecond());
        choice = new SlowestChoice(rates);
        this.metrics = metrics;
        metrics.registerGauge("ingress_connections", openConnections::get);
        metrics.registerGauge("ingress_held_bytes", budget::reservedBytes);
        addPressure(budget::isUnderPressure);
        addPressure(() -> connections.size() * 2 >= maxConnections);
    }

    /** Adds a condition under which callers have to keep the least rates. */
    public void addPressure(BooleanSupplier pressure) {
        pressures.add(pressure);
    }

    HeadLimits headLimits() {
        return headLimits;
    }

    /** Counts a refusal by its cause. */
    void countRefusal(IngressRefusal cause) {
        metrics.count("ingress_refused", "cause", cause.name().toLowerCase(Locale.ROOT));
    }

    /** Adds a connection; false if all others make progress and there is no room. */
    boolean tryAdd(GuardedConnection connection) {
        int open = openConnections.incrementAndGet();
        boolean full = connections.size() >= maxConnections && !closeSlowest(progress -> true);
        if (full || open > maxConnections + maxConnections / CLOSING_EXCESS_DIVISOR) {
            countRefusal(IngressRefusal.CONNECTIONS);
            return false;
        }
        connections.add(connection);
        return true;
    }

    /** Removes a connection that {@link #tryAdd} was called for, whatever its result. */
    void remove(GuardedConnection connection) {
        connections.remove(connection);
        openConnections.decrementAndGet();
    }

    /** Reserves memory, if need be by closing slow connections that hold some. */
    boolean tryReserve(GuardedConnection owner, long bytes) {
        while (!budget.tryReserve(bytes)) {
            if (!closeSlowest(progress -> progress.heldBytes() > 0)) {
                countRefusal(IngressRefusal.HELD_BYTES);
                return false;
            }
        }
        return true;
    }

    void release(long bytes) {
        budget.release(bytes);
    }

    /** Closes the connections that are too slow, if a limit is half used. */
    void closeSlowUnderPressure() {
        if (pressures.stream().noneMatch(BooleanSupplier::getAsBoolean)) {
            return;
        }
        long nowNanos = System.nanoTime();
        for (GuardedConnection connection : connections) {
            ConnectionProgress progress = connection.progress(nowNanos);
            boolean idle = progress.phase() == ConnectionPhase.IDLE && !progress.writeBlocked();
            if (!idle && rates.isTooSlow(progress)) {
                close(connection, progress);
            }
        }
    }

    private boolean closeSlowest(Predicate<ConnectionProgress> qualifies) {
        long nowNanos = System.nanoTime();
        Optional<GuardedConnection> slowest =
                choice.choose(connections, connection -> connection.progress(nowNanos), qualifies);
        slowest.ifPresent(connection -> close(connection, connection.progress(nowNanos)));
        return slowest.isPresent();
    }

    private void close(GuardedConnection connection, ConnectionProgress progress) {
        if (!connections.remove(connection)) {
            return;
        }
        String phase = progress.phase().name().toLowerCase(Locale.ROOT);
        metrics.count("ingress_closed", "phase", progress.writeBlocked() ? "writing" : phase);
        LOG.atInfo()
                .addKeyValue("phase", phase)
                .addKeyValue("write_blocked", progress.writeBlocked())
                .addKeyValue("silent_ms", progress.silence().toMillis())
                .addKeyValue("held_bytes", progress.heldBytes())
                .log("slow connection closed");
        connection.close();
    }
}
