package org.wigeonferry.command_line;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * What the logs say of one request, and of the process that served it.
 *
 * <p>Immutable and thread safe.
 *
 * @param own lines that name the request, in their order
 * @param process lines of the same file
 */
record RequestStory(List<LogLine> own, List<LogLine> process) {
    private static final Set<String> ENDS =
            Set.of("answered", "refused", "stream broken off", "caller left");

    /** Picks the lines of a request; empty if no line names it. */
    static Optional<RequestStory> of(String request, List<LogLine> lines) {
        List<LogLine> own = lines.stream().filter(l -> l.text("request").equals(request)).toList();
        if (own.isEmpty()) {
            return Optional.empty();
        }
        String file = own.get(own.size() - 1).file();
        List<LogLine> process = lines.stream().filter(l -> l.file().equals(file)).toList();
        return Optional.of(new RequestStory(own, process));
    }

    /** The line that tells how it ended. */
    Optional<LogLine> end() {
        return last(own, ENDS);
    }

    /** The end of its last send. */
    Optional<LogLine> lastSend() {
        return last(own, Set.of("send ended"));
    }

    /** The last line of the process about these events before the request ended. */
    Optional<LogLine> before(String... events) {
        Set<String> wanted = Set.of(events);
        return lastBefore(line -> wanted.contains(line.event()));
    }

    /** The last such line of the process before the request ended. */
    Optional<LogLine> lastBefore(Predicate<LogLine> wanted) {
        long until = end().map(LogLine::atMillis).orElse(Long.MAX_VALUE);
        return process.stream()
                .filter(line -> line.atMillis() <= until)
                .filter(wanted)
                .reduce((a, b) -> b);
    }

    private static Optional<LogLine> last(List<LogLine> lines, Set<String> events) {
        return lines.stream().filter(l -> events.contains(l.event())).reduce((a, b) -> b);
    }
}
