package org.wigeonferry.command_line;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletionException;
import java.util.function.Predicate;
import org.eclipse.jetty.client.HttpClient;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.platform_clients.JsonHttpClient;

/**
 * Reads what the stand-ins truly ran and what the table truly holds.
 *
 * <p>Immutable and thread safe.
 *
 * @param client client of HTTP/1.1
 * @param plan the deployment
 */
public record DemoLedgers(HttpClient client, DemoPlan plan) {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int PAGE = 1000;

    /** Starts of a version on the upstreams that fit. */
    public int starts(String version, Predicate<DemoUpstream> fits) throws StepException {
        int starts = 0;
        for (DemoUpstream upstream : plan.upstreams()) {
            if (upstream.engine() && fits.test(upstream)) {
                JsonNode ledger = read(upstream.address(), "/ledger");
                starts += ledger.path("starts_by_version").path(version).asInt();
            }
        }
        return starts;
    }

    /** Starts of all versions on the upstreams that fit. */
    public int starts(Predicate<DemoUpstream> fits) throws StepException {
        return sum("starts", fits);
    }

    /** Requests that were more than an engine bore. */
    public int overloads() throws StepException {
        return sum("overloads", upstream -> true);
    }

    /** Times that engines were lost. */
    public int crashes() throws StepException {
        return sum("crashes", upstream -> true);
    }

    /** Keys that desks ran more than once. */
    public int doubleRuns() throws StepException {
        Map<String, Integer> runs = new HashMap<>();
        for (DemoUpstream upstream : plan.upstreams()) {
            if (!upstream.engine()) {
                JsonNode ledger = read(upstream.address(), "/ledger");
                ledger.fields()
                        .forEachRemaining(
                                run ->
                                        runs.merge(
                                                run.getKey(),
                                                run.getValue().asInt(),
                                                Integer::sum));
            }
        }
        return (int) runs.values().stream().filter(count -> count > 1).count();
    }

    /** Keys of all bills in the table. */
    public Set<String> bills() throws StepException {
        Set<String> keys = new TreeSet<>();
        Optional<String> after = Optional.of("bill/");
        while (after.isPresent()) {
            String path = "/v1/rows?prefix=bill/&after=" + after.get() + "&limit=" + PAGE;
            JsonNode rows = read(plan.table(), path).path("rows");
            rows.forEach(row -> keys.add(row.path("key").asText()));
            after =
                    rows.size() < PAGE
                            ? Optional.empty()
                            : Optional.of(rows.get(rows.size() - 1).path("key").asText());
        }
        return keys;
    }

    private int sum(String field, Predicate<DemoUpstream> fits) throws StepException {
        int sum = 0;
        for (DemoUpstream upstream : plan.upstreams()) {
            if (upstream.engine() && fits.test(upstream)) {
                sum += read(upstream.address(), "/ledger").path(field).asInt();
            }
        }
        return sum;
    }

    private JsonNode read(HostAddress address, String path) throws StepException {
        try {
            return new JsonHttpClient(client, address, TIMEOUT).fetch(path).join().body();
        } catch (CompletionException e) {
            throw new StepException("read ledger", address.toString(), e);
        }
    }
}
