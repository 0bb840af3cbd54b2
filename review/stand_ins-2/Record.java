import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, with times. */
final class Record {
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    synchronized void line(String text) {
        out.printf("%8.3f %s%n", Lab.millis() / 1000.0, text);
    }
}
