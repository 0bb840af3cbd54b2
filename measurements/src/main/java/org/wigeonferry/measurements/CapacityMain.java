package org.wigeonferry.measurements;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.node_runtime.Dissemination;
import org.wigeonferry.node_runtime.LoggingSetup;
import org.wigeonferry.node_runtime.PushTargetSelector;

/**
 * Measures the slopes of docs/CAPACITY.md and writes the page.
 *
 * <p>Runs on the main thread.
 */
public final class CapacityMain {
    private static final int FANOUT = 6;

    /** Bills of an hour at peak for each entry. */
    private static final double BILLS_OF_AN_HOUR = 14_000.0 * 3600 / 340;

    private static final double ENTRIES = 340;
    private static final double AGENTS = 1900;
    private static final double ENTRY_PERIOD_SECONDS = 2;
    private static final double AGENT_PERIOD_SECONDS = 4;
    private static final int SHORT_ANSWER = 12;
    private static final int LONG_ANSWER = 60;
    private static final Duration HELD = Duration.ofSeconds(12);
    private static final List<Integer> RATES = List.of(30, 60, 90);

    private CapacityMain() {}

    /** Writes the page to the file named by the first argument. */
    public static void main(String[] arguments) throws Exception {
        LoggingSetup.logToStderr(false);
        ((ch.qos.logback.classic.Logger)
                        org.slf4j.LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME))
                .setLevel(ch.qos.logback.classic.Level.ERROR);
        CapacityPage page = new CapacityPage(template());
        List<Series> series = new ArrayList<>(RoutingCost.measure());
        series.addAll(CatalogCost.measure());
        Series bills = BillCost.measure();
        series.add(bills);
        page.put("bill-bytes", number(bills.fit().slope()));
        page.put("outage-mb", number(bills.fit().slope() * 2 * BILLS_OF_AN_HOUR / 1e6));
        page.put("slopes", rows(series));
        series.forEach(s -> page.put(key(s), String.format(Locale.ROOT, "%.4g", s.atTarget())));
        spreads(page);
        processes(page);
        Files.writeString(Path.of(arguments[0]), page.text());
        System.out.println("wrote " + arguments[0]);
        System.exit(0);
    }

    private static String key(Series series) {
        return series.name().replace(' ', '-') + "-by-" + series.over();
    }

    private static void spreads(CapacityPage page) throws StepException {
        List<SpreadResult> results = new ArrayList<>();
        PushTargetSelector flat = Dissemination.randomFanout(FANOUT);
        PushTargetSelector zonal = Dissemination.zoneFlood();
        PushTargetSelector none = Dissemination.noPush();
        for (int count : List.of(10, 30, 100, 300)) {
            results.add(SpreadRun.entries("steady exchange only", none, count, 0, false));
            results.add(SpreadRun.entries("flat gossip", flat, count, 0, false));
            results.add(SpreadRun.entries("zone flood and relay", zonal, count, 0, false));
        }
        for (double loss : List.of(0.05, 0.2)) {
            results.add(SpreadRun.entries("flat gossip", flat, 300, loss, false));
            results.add(SpreadRun.entries("zone flood and relay", zonal, 300, loss, false));
        }
        results.add(SpreadRun.entries("flat gossip", flat, 300, 0.05, true));
        results.add(SpreadRun.entries("zone flood and relay", zonal, 300, 0.05, true));
        SpreadResult agents = SpreadRun.withAgents("flat gossip", flat, 46, 300, 0.05);
        results.add(agents);
        page.put("spreads", spreadRows(results));
        page.put("agents-last", String.format(Locale.ROOT, "%.1f", agents.lastSeconds()));
        double bytes = agents.steadyBytesPerNode();
        page.put("exchange-bytes", number(bytes));
        page.put("entry-bytes-1s", number(bytes * (AGENTS + 2 * ENTRIES) / ENTRIES));
        double slower = AGENTS / AGENT_PERIOD_SECONDS + 2 * ENTRIES / ENTRY_PERIOD_SECONDS;
        page.put("entry-bytes-slow", number(bytes * slower / ENTRIES));
        page.put("agent-bytes-slow", number(bytes / AGENT_PERIOD_SECONDS));
        page.put("agents-bytes", String.format(Locale.ROOT, "%.0f", agents.steadyBytesPerNode()));
    }

    private static String spreadRows(List<SpreadResult> results) {
        StringBuilder rows = new StringBuilder();
        for (SpreadResult r : results) {
            rows.append(
                    String.format(
                            Locale.ROOT,
                            "| %s | %d | %s | %.1f | %d | %.1f | %.0f |%n",
                            r.way(),
                            r.nodes(),
                            r.condition(),
                            r.lastSeconds(),
                            r.messages(),
                            r.kilobytes(),
                            r.steadyBytesPerNode()));
        }
        return rows.toString();
    }

    private static void processes(CapacityPage page) throws Exception {
        List<Point> entryPoints = new ArrayList<>();
        List<Point> agentPoints = new ArrayList<>();
        StringBuilder rows = new StringBuilder();
        try (ProcessCost cost = new ProcessCost(SHORT_ANSWER)) {
            cost.run(RATES.get(1), HELD);
            ProcessLoad idle = cost.run(0, HELD);
            page.put("idle-entry", percent(idle.entryShare() / 3));
            page.put("idle-agent", percent(idle.agentShare() / 6));
            page.put("idle-entry-mb", number(idle.entryMegabytes()));
            page.put("idle-agent-mb", number(idle.agentMegabytes()));
            rows.append(row(SHORT_ANSWER, idle));
            for (int rate : RATES) {
                ProcessLoad load = cost.run(rate, HELD);
                rows.append(row(SHORT_ANSWER, load));
                entryPoints.add(new Point(rate, load.entryShare()));
                agentPoints.add(new Point(rate, load.agentShare()));
            }
        }
        List<Point> longEntry = new ArrayList<>();
        List<Point> longAgent = new ArrayList<>();
        try (ProcessCost cost = new ProcessCost(LONG_ANSWER)) {
            cost.run(RATES.get(1), HELD);
            for (int rate : RATES) {
                ProcessLoad load = cost.run(rate, HELD);
                rows.append(row(LONG_ANSWER, load));
                longEntry.add(new Point(rate, load.entryShare()));
                longAgent.add(new Point(rate, load.agentShare()));
            }
        }
        page.put("process-rows", rows.toString());
        putRole(page, "entry", LineFit.of(entryPoints), LineFit.of(longEntry), 340);
        putRole(page, "agent", LineFit.of(agentPoints), LineFit.of(longAgent), 1900);
    }

    private static void putRole(
            CapacityPage page, String role, LineFit shortFit, LineFit longFit, int nodes) {
        double perToken =
                Math.max(0, (longFit.slope() - shortFit.slope()) / (LONG_ANSWER - SHORT_ANSWER));
        double perRequest = shortFit.slope() - perToken * SHORT_ANSWER;
        page.put(role + "-request-us", number(perRequest * 1e6));
        page.put(role + "-token-us", number(perToken * 1e6));
        page.put(role + "-fit", shortFit.text());
        page.put(role + "-long-fit", longFit.text());
        double cores = (14_000 * perRequest + 2_900_000 * perToken) / nodes;
        page.put(role + "-cores", String.format(Locale.ROOT, "%.2f", cores));
    }

    private static String row(int tokens, ProcessLoad load) {
        return String.format(
                Locale.ROOT,
                "| %d | %d | %.3f | %.3f | %.0f | %.0f | %.1f |%n",
                tokens,
                load.requestsPerSecond(),
                load.entryShare(),
                load.agentShare(),
                load.entryMegabytes(),
                load.agentMegabytes(),
                load.tableWritesPerSecond());
    }

    private static String rows(List<Series> series) {
        StringBuilder rows = new StringBuilder();
        series.forEach(s -> rows.append(s.row()));
        return rows.toString();
    }

    private static String percent(double share) {
        return String.format(Locale.ROOT, "%.2f%%", 100 * share);
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.0f", value);
    }

    private static String template() throws IOException {
        try (var stream = CapacityMain.class.getResourceAsStream("/capacity.md")) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        }
    }
}
