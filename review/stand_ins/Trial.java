package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/**
 * Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With
 * TROUBLE=0 in the environment the case runs without its disruption.
 */
public final class Trial {
    /** What a case does; true if the rule was broken. */
    public interface Body {
        boolean isRuleBroken(Trial trial) throws Exception;
    }

    private final Record record;
    private final Path folder;
    private final boolean troubled = !"0".equals(System.getenv("TROUBLE"));

    private Trial(Record record, Path folder) {
        this.record = record;
        this.folder = folder;
    }

    public Record record() {
        return record;
    }

    /** A temporary folder, removed at the end. */
    public Path folder() {
        return folder;
    }

    /** Whether the disruption takes place. */
    public boolean troubled() {
        return troubled;
    }

    /** Runs a case, writes record.txt in its folder, and ends the process. */
    public static void run(String caseFolder, Body body) {
        int code = 2;
        try (Record record = new Record(Path.of(caseFolder, "record.txt"))) {
            Path folder = Files.createTempDirectory("review");
            try {
                Trial trial = new Trial(record, folder);
                record.line("disruption: " + (trial.troubled ? "yes" : "no (TROUBLE=0)"));
                boolean broken = body.isRuleBroken(trial);
                record.tell(broken ? "RULE BROKEN" : "rule held");
                code = broken ? 1 : 0;
            } catch (Exception e) {
                record.tell("the case couldn't run: " + e);
                e.printStackTrace();
            } finally {
                remove(folder);
            }
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    private static void remove(Path folder) throws IOException {
        try (Stream<Path> paths = Files.walk(folder)) {
            for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(path);
            }
        }
    }
}
