package org.wigeonferry.command_line.soak;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * The promises of the router's pages.
 *
 * <p>Stateless and thread safe.
 */
final class SoakChecks {
    /** Bounds of the pages, in milliseconds. */
    static final long DRAIN = 2000;

    static final long REVOCATION = 5000;
    static final long CONTACT = 3000;
    static final long PATIENCE = 3000;

    /** Longest time that a link holds bytes back before it passes them on. */
    static final long LINK_DELAY = 300;

    /** What a caller's own clock and threads may add to a bound. */
    static final long SLACK = 500;

    static final int EVENTS = 6;

    private SoakChecks() {}

    /** All checks by their names. */
    static Map<String, SoakCheck> all() {
        Map<String, SoakCheck> checks = new LinkedHashMap<>();
        checks.put("unrepeatable request runs once", SoakChecks::ranTwice);
        checks.put("not run is said only of what did not run", SoakChecks::ranAfterAll);
        checks.put("an answer is of a run", SoakChecks::answersWithoutRun);
        checks.put("a stream's events come in order, once", SoakChecks::brokenStreams);
        checks.put("a revoked key stops working", SoakChecks::ranRevoked);
        checks.put("a leaving upstream gets nothing new", SoakChecks::sentToLeaving);
        checks.put("each request is answered in time", SoakChecks::late);
        return checks;
    }

    private static List<String> ranTwice(SoakHistory history) {
        Map<String, Long> runs = runs(history);
        return history.calls().stream()
                .filter(call -> call.kind() == SoakKind.BOOK)
                .filter(call -> runs.getOrDefault(call.id(), 0L) > 1)
                .map(call -> call + " ran " + runs.get(call.id()) + " times")
                .toList();
    }

    private static List<String> ranAfterAll(SoakHistory history) {
        Map<String, Long> runs = runs(history);
        return history.calls().stream()
                .filter(call -> call.answer().saysNotRun() && runs.containsKey(call.id()))
                .map(call -> call + " was said not to have run")
                .toList();
    }

    private static List<String> answersWithoutRun(SoakHistory history) {
        Map<String, Long> runs = runs(history);
        return history.calls().stream()
                .filter(call -> call.answer().status() == 200)
                .filter(
                        call ->
                                !runs.containsKey(call.id())
                                        || !call.answer().stamped()
                                        || !call.answer().body().contains(call.id()))
                .map(call -> call + " answers another request, or none")
                .toList();
    }

    private static List<String> brokenStreams(SoakHistory history) {
        return history.calls().stream()
                .filter(call -> call.kind() == SoakKind.CHAT && call.answer().status() == 200)
                .filter(call -> !inOrder(call))
                .map(call -> call + " has events missing, twice, or cut")
                .toList();
    }

    /** A stream may be cut between events if the connection says so, but not end early as whole. */
    private static boolean inOrder(SoakCall call) {
        String expected =
                IntStream.range(0, EVENTS)
                        .mapToObj(i -> event(call.id(), i))
                        .collect(Collectors.joining());
        String body = call.answer().body();
        return call.answer().whole() ? body.equals(expected) : expected.startsWith(body);
    }

    /** One event of a stream. */
    static String event(String id, int number) {
        return "id: " + number + "\ndata: " + id + "-" + number + "\n\n";
    }

    private static List<String> ranRevoked(SoakHistory history) {
        Map<String, Long> runs = runs(history);
        return history.calls().stream()
                .filter(call -> history.revoked().containsKey(call.key()))
                .filter(call -> call.sentMillis() > history.revoked().get(call.key()) + REVOCATION)
                .filter(call -> runs.containsKey(call.id()))
                .map(call -> call + " ran with a revoked key")
                .toList();
    }

    private static List<String> sentToLeaving(SoakHistory history) {
        Map<String, SoakCall> calls =
                history.calls().stream()
                        .collect(Collectors.toMap(SoakCall::id, call -> call, (a, b) -> a));
        return history.runs().stream()
                .filter(run -> history.leaving().containsKey(run.upstream()))
                .filter(run -> calls.containsKey(run.id()))
                .filter(run -> late(run, history.leaving().get(run.upstream()), history, calls))
                .map(run -> run + " at an upstream that had left")
                .toList();
    }

    private static boolean late(
            SoakRunOfRequest run, long left, SoakHistory history, Map<String, SoakCall> calls) {
        int router = calls.get(run.id()).router();
        return run.atMillis() > left + DRAIN + LINK_DELAY
                && !history.disturbedBetween(router, left - CONTACT, run.atMillis());
    }

    private static List<String> late(SoakHistory history) {
        return history.calls().stream()
                .filter(call -> call.endMillis() - call.sentMillis() > PATIENCE + SLACK)
                .filter(
                        call ->
                                !history.disturbedBetween(
                                        call.router(), call.sentMillis(), call.endMillis()))
                .map(call -> call + " took " + (call.endMillis() - call.sentMillis()) + " ms")
                .toList();
    }

    private static Map<String, Long> runs(SoakHistory history) {
        return history.runs().stream()
                .collect(Collectors.groupingBy(SoakRunOfRequest::id, Collectors.counting()));
    }
}
