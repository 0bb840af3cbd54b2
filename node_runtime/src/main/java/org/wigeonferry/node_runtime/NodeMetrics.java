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
 * Counters, histograms and gauges of a process. A metric may have a label, such as a client account
 * or a request class; {@code kind} says what its labels are and {@code label} is the value.
 *
 * <p>Invariant: at most {@link #MAX_LABEL_VALUES} label values; further ones share the label {@code
 * other}. Thread safe.
 */
public final class NodeMetrics {
    /** Maximum number of different label values of all kinds together, over all metrics. */
    public static final int MAX_LABEL_VALUES = 256;

    private static final String OTHER = "other";
    private static final char SEPARATOR = '|';

    private final MetricRegistry registry = new MetricRegistry();
    private final Set<String> labelValues = ConcurrentHashMap.newKeySet();

    /** The registry that holds the metrics. */
    public MetricRegistry registry() {
        return registry;
    }

    /** Adds one to a counter with a label. */
    public void count(String name, String kind, String label) {
        counter(name, kind, label).inc();
    }

    /** Adds one to a counter without a label. */
    public void count(String name) {
        registry.counter(name).inc();
    }

    /** Adds a duration to the histogram {@code name_micros}, in microseconds. */
    public void recordDuration(String name, String kind, String label, Duration duration) {
        recordValue(name + "_micros", kind, label, duration.toNanos() / 1000);
    }

    /** Adds a value to a histogram. */
    public void recordValue(String name, String kind, String label, long value) {
        String fullName = name + SEPARATOR + kind + SEPARATOR + labelOrOther(kind, label);
        registry.histogram(fullName, () -> new Histogram(new HdrHistogramReservoir()))
                .update(value);
    }

    /** Registers a gauge; its value is read each time the metrics are read. */
    public void registerGauge(String name, LongSupplier value) {
        registry.gauge(name, () -> value::getAsLong);
    }

    private Counter counter(String name, String kind, String label) {
        return registry.counter(name + SEPARATOR + kind + SEPARATOR + labelOrOther(kind, label));
    }

    private String labelOrOther(String kind, String label) {
        String key = kind + SEPARATOR + label;
        if (labelValues.contains(key)) {
            return label;
        }
        if (labelValues.size() >= MAX_LABEL_VALUES) {
            return OTHER;
        }
        labelValues.add(key);
        return label;
    }
}
