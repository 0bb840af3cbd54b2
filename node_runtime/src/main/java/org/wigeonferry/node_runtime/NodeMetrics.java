package org.wigeonferry.node_runtime;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.mpierce.metrics.reservoir.hdrhistogram.HdrHistogramReservoir;

/**
 * Counters and histograms of a process, some of them for each client account or class.
 *
 * <p>Invariant: at most {@link #MAX_LABEL_VALUES} labels; further ones share the label {@code
 * other}. Thread safe.
 */
public final class NodeMetrics {
    /** Most client accounts and classes with histograms of their own. */
    public static final int MAX_LABEL_VALUES = 256;

    private static final String OTHER = "other";
    private static final char SEPARATOR = '|';

    private final MetricRegistry registry = new MetricRegistry();
    private final Set<String> labels = ConcurrentHashMap.newKeySet();

    /** The registry behind this. */
    public MetricRegistry registry() {
        return registry;
    }

    /** Counts an event. */
    public void count(String name, String kind, String label) {
        counter(name, kind, label).inc();
    }

    /** Counts an event that has no account or class. */
    public void count(String name) {
        registry.counter(name).inc();
    }

    /** Notes a duration in microseconds. */
    public void recordDuration(String name, String kind, String label, Duration duration) {
        recordValue(name + "_micros", kind, label, duration.toNanos() / 1000);
    }

    /** Notes a value. */
    public void recordValue(String name, String kind, String label, long value) {
        String full = name + SEPARATOR + kind + SEPARATOR + bounded(kind, label);
        registry.histogram(full, () -> new Histogram(new HdrHistogramReservoir())).update(value);
    }

    /** Shows a value that is read when it is asked for. */
    public void registerGauge(String name, LongSupplier value) {
        registry.gauge(name, () -> value::getAsLong);
    }

    private Counter counter(String name, String kind, String label) {
        return registry.counter(name + SEPARATOR + kind + SEPARATOR + bounded(kind, label));
    }

    private String bounded(String kind, String label) {
        String key = kind + SEPARATOR + label;
        if (labels.contains(key)) {
            return label;
        }
        if (labels.size() >= MAX_LABEL_VALUES) {
            return OTHER;
        }
        labels.add(key);
        return label;
    }
}
