package org.wigeonferry.command_line.ingress;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.wigeonferry.command_line.Main;

/**
 * A process of the system with a small heap and few file descriptors.
 *
 * <p>Used by one thread.
 */
final class ProcessUnderTest implements AutoCloseable {
    static final int HEAP_MEGABYTES = 64;

    /** What the smallest host has for a router (290 MB) beyond the router's heap (163 MB). */
    private static final int MEGABYTES_BEYOND_HEAP = 127;

    private static final int DESCRIPTOR_LIMIT = 600;

    /** As on the smallest host, 200 descriptors are reserved. */
    private static final int MAX_DESCRIPTORS = DESCRIPTOR_LIMIT - 200;

    private final Process process;
    private final Path log;

    /** Starts the process; the other options of its virtual machine are those of the deployment. */
    ProcessUnderTest(Path log, String role, Path settings) throws IOException {
        this.log = log;
        List<String> command = new ArrayList<>();
        command.addAll(
                List.of("sh", "-c", "ulimit -n " + DESCRIPTOR_LIMIT + "; exec \"$@\"", "sh"));
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xmx" + HEAP_MEGABYTES + "m", "-Xss256k", "-XX:+UseSerialGC"));
        command.add("-XX:TieredStopAtLevel=1");
        command.addAll(List.of("-cp", System.getProperty("java.class.path"), Main.class.getName()));
        command.addAll(List.of(role, "--config", settings.toString()));
        process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(log.toFile())
                        .start();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Checks that the process lives and has kept within its memory and descriptors. */
    void assertSound() throws IOException {
        assertThat(process.isAlive()).as("process is alive").isTrue();
        long outOfMemoryErrors;
        try (Stream<String> lines = Files.lines(log)) {
            outOfMemoryErrors = lines.filter(line -> line.contains("OutOfMemoryError")).count();
        }
        long descriptors;
        try (Stream<Path> open = Files.list(procFile("fd"))) {
            descriptors = open.count();
        }
        String seen =
                "out of memory errors "
                        + outOfMemoryErrors
                        + ", peak resident MB "
                        + peakResidentMegabytes()
                        + ", open descriptors "
                        + descriptors;
        System.out.println("ingress: " + log.getFileName() + ": " + seen);
        assertThat(outOfMemoryErrors).as(seen).isZero();
        assertThat(peakResidentMegabytes())
                .as(seen)
                .isLessThanOrEqualTo(HEAP_MEGABYTES + MEGABYTES_BEYOND_HEAP);
        assertThat(descriptors).as(seen).isLessThanOrEqualTo(MAX_DESCRIPTORS);
    }

    private long peakResidentMegabytes() throws IOException {
        try (Stream<String> lines = Files.lines(procFile("status"))) {
            return lines.filter(line -> line.startsWith("VmHWM:"))
                            .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                            .sum()
                    >> 10;
        }
    }

    private Path procFile(String name) {
        return Path.of("/proc", Long.toString(process.pid()), name);
    }

    @Override
    public void close() {
        process.destroyForcibly().onExit().join();
    }
}
