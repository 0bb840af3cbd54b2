package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: one line for each thing sent, answered or run. Thread safe. */
public final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    public Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Milliseconds since the start of the case. */
    public long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    public synchronized void line(String text) {
        out.printf("%8.3f s  %s%n", now() / 1000.0, text);
        out.flush();
    }

    /** Writes a line to the record and to standard output. */
    public void tell(String text) {
        line(text);
        System.out.println(text);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
