package org.wigeonferry.node_runtime;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import org.wigeonferry.platform_clients.JsonHttpClient;

/**
 * Serves metrics as JSON and in the text format of Prometheus.
 *
 * <p>A metric is registered as {@code name} or {@code name|kind|label}; the text format writes the
 * latter as {@code name{kind="label"}}.
 *
 * <p>Stateless and thread safe.
 */
public final class MetricsEndpoints {
    private static final int OK = 200;
    private static final double[] QUANTILES = {0.5, 0.95, 0.99};

    private MetricsEndpoints() {}

    /** Creates an endpoint that serves {@link #toJson}. */
    public static Endpoint jsonEndpoint(MetricRegistry registry) {
        return (request, response, callback) ->
                Replies.sendJson(response, callback, OK, toJson(registry));
    }

    /** Creates an endpoint that serves {@link #toText}. */
    public static Endpoint textEndpoint(MetricRegistry registry) {
        return (request, response, callback) ->
                Replies.sendText(response, callback, toText(registry));
    }

    /** Counters and histograms as JSON; gauges are left out. */
    public static ObjectNode toJson(MetricRegistry registry) {
        ObjectNode json = JsonHttpClient.newObject();
        registry.getCounters().forEach((name, counter) -> json.put(name, counter.getCount()));
        registry.getHistograms().forEach((name, h) -> add(json.putObject(name), h));
        return json;
    }

    /** Counters, histograms and gauges in the text format of Prometheus. */
    public static String toText(MetricRegistry registry) {
        StringBuilder text = new StringBuilder();
        registry.getCounters().forEach((name, counter) -> add(text, name, counter));
        registry.getHistograms().forEach((name, histogram) -> add(text, name, histogram));
        registry.getGauges().forEach((name, gauge) -> add(text, name, gauge));
        return text.toString();
    }

    private static void add(ObjectNode json, Histogram histogram) {
        Snapshot snapshot = histogram.getSnapshot();
        json.put("count", histogram.getCount());
        json.put("mean", snapshot.getMean());
        json.put("p50", snapshot.getMedian());
        json.put("p95", snapshot.get95thPercentile());
        json.put("p99", snapshot.get99thPercentile());
        json.put("max", snapshot.getMax());
    }

    private static void add(StringBuilder text, String name, Counter counter) {
        text.append(metricName(name)).append(labelSet(name, "")).append(' ');
        text.append(counter.getCount()).append('\n');
    }

    private static void add(StringBuilder text, String name, Gauge<?> gauge) {
        text.append(metricName(name)).append(labelSet(name, "")).append(' ');
        text.append(gauge.getValue()).append('\n');
    }

    private static void add(StringBuilder text, String name, Histogram histogram) {
        Snapshot snapshot = histogram.getSnapshot();
        for (double quantile : QUANTILES) {
            String quantileLabel = String.format(Locale.ROOT, "quantile=\"%s\"", quantile);
            text.append(metricName(name)).append(labelSet(name, quantileLabel)).append(' ');
            text.append(snapshot.getValue(quantile)).append('\n');
        }
        text.append(metricName(name)).append("_count").append(labelSet(name, "")).append(' ');
        text.append(histogram.getCount()).append('\n');
    }

    private static String metricName(String name) {
        int end = name.indexOf('|');
        return "wigeonferry_" + (end < 0 ? name : name.substring(0, end));
    }

    private static String labelSet(String name, String extraLabel) {
        String[] parts = name.split("\\|", 3);
        String ownLabel = parts.length == 3 ? parts[1] + "=\"" + parts[2] + "\"" : "";
        String both =
                ownLabel.isEmpty() || extraLabel.isEmpty()
                        ? ownLabel + extraLabel
                        : ownLabel + "," + extraLabel;
        return both.isEmpty() ? "" : "{" + both + "}";
    }
}
