package org.wigeonferry.command_line;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.platform_clients.JsonHttpClient;

/**
 * Reads routers' logs; whatever stands before a line's JSON object or is none is passed over.
 *
 * <p>Stateless and thread safe.
 */
final class LogReader {
    private LogReader() {}

    /** The lines of several files, in the order of their times. */
    static List<LogLine> read(List<Path> files) throws StepException {
        Stream<LogLine> all = Stream.empty();
        for (Path file : files) {
            all = Stream.concat(all, read(file).stream());
        }
        return all.sorted(Comparator.comparingLong(LogLine::atMillis)).toList();
    }

    private static List<LogLine> read(Path file) throws StepException {
        try (Stream<String> lines = Files.lines(file, StandardCharsets.ISO_8859_1)) {
            return lines.flatMap(line -> parse(file, line).stream()).toList();
        } catch (IOException e) {
            throw new StepException("read log", file.toString(), e);
        }
    }

    private static Optional<LogLine> parse(Path file, String line) {
        int start = line.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        JsonNode fields = JsonHttpClient.parseJson(line.substring(start));
        if (!fields.path("at_ms").isIntegralNumber() || !fields.path("event").isTextual()) {
            return Optional.empty();
        }
        return Optional.of(
                new LogLine(
                        file.getFileName().toString(),
                        fields.path("at_ms").asLong(),
                        fields.path("event").asText(),
                        fields));
    }
}
