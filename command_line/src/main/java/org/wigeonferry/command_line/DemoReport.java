package org.wigeonferry.command_line;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.wigeonferry.core_types.StepException;

/**
 * Prints what the demo saw and decides whether it passed.
 *
 * <p>Immutable and thread safe.
 *
 * @param outcomes outcomes of all requests
 * @param ledgers what was truly run and billed
 * @param disallowed starts that were not allowed
 */
public record DemoReport(List<DemoOutcome> outcomes, DemoLedgers ledgers, int disallowed) {
    private static final double NANOS_PER_MILLI = 1e6;

    /** Prints the table and the last line; true if all held. */
    public boolean print() throws StepException {
        System.out.printf(
                "%-10s %6s %9s %8s %8s %9s %9s %7s%n",
                "class", "sent", "answered", "not_run", "unknown", "p50 ms", "p95 ms", "stages");
        for (DemoKind kind : DemoKind.values()) {
            printRow(kind, outcomes.stream().filter(o -> o.kind() == kind).toList());
        }
        outcomes.stream()
                .filter(o -> o.end() != DemoEnd.ANSWERED && o.kind() != DemoKind.FORBIDDEN)
                .limit(5)
                .forEach(o -> System.out.println("  " + o.kind() + ": " + o.detail()));
        return printLast();
    }

    private static void printRow(DemoKind kind, List<DemoOutcome> rows) {
        List<Duration> times =
                rows.stream()
                        .filter(o -> o.end() == DemoEnd.ANSWERED)
                        .map(DemoOutcome::firstToken)
                        .sorted(Comparator.naturalOrder())
                        .toList();
        double stages =
                rows.stream()
                        .filter(o -> o.stages() > 0)
                        .mapToInt(DemoOutcome::stages)
                        .average()
                        .orElse(0);
        System.out.printf(
                Locale.ROOT,
                "%-10s %6d %9d %8d %8d %9.1f %9.1f %7.2f%n",
                kind.name().toLowerCase(Locale.ROOT),
                rows.size(),
                count(rows, DemoEnd.ANSWERED),
                count(rows, DemoEnd.NOT_RUN),
                count(rows, DemoEnd.UNKNOWN),
                quantile(times, 0.5),
                quantile(times, 0.95),
                stages);
    }

    private boolean printLast() throws StepException {
        Set<String> bills = ledgers.bills();
        Set<String> expected =
                outcomes.stream()
                        .map(DemoOutcome::billKey)
                        .flatMap(Optional::stream)
                        .collect(Collectors.toSet());
        Set<String> surplus = new HashSet<>(bills);
        surplus.removeAll(expected);
        int doubleRuns = ledgers.doubleRuns();
        long answered = count(outcomes, DemoEnd.ANSWERED);
        surplus.stream().limit(5).forEach(key -> System.out.println("  surplus bill " + key));
        System.out.println("overloads of cold engines: " + ledgers.overloads());
        System.out.printf(
                "demo: sent=%d answered=%d not_run=%d unknown=%d billed=%d double_billed=%d"
                        + " double_run=%d disallowed=%d%n",
                outcomes.size(),
                answered,
                count(outcomes, DemoEnd.NOT_RUN),
                count(outcomes, DemoEnd.UNKNOWN),
                bills.size(),
                surplus.size(),
                doubleRuns,
                disallowed);
        return bills.size() == answered && surplus.isEmpty() && doubleRuns == 0 && disallowed == 0;
    }

    private static long count(List<DemoOutcome> rows, DemoEnd end) {
        return rows.stream().filter(o -> o.end() == end).count();
    }

    private static double quantile(List<Duration> sorted, double quantile) {
        if (sorted.isEmpty()) {
            return 0;
        }
        int index = (int) Math.min(sorted.size() - 1L, Math.round(quantile * sorted.size()));
        return sorted.get(index).toNanos() / NANOS_PER_MILLI;
    }
}
