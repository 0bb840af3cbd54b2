package org.wigeonferry.measurements;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;

/**
 * Processor time and memory of a running process.
 *
 * <p>Immutable and thread safe.
 *
 * @param processorTime processor time since its start
 * @param residentKilobytes resident memory
 */
record ProcessUse(Duration processorTime, long residentKilobytes) {
    static ProcessUse of(long pid) {
        Duration time =
                ProcessHandle.of(pid)
                        .flatMap(handle -> handle.info().totalCpuDuration())
                        .orElse(Duration.ZERO);
        return new ProcessUse(time, resident(pid).orElse(0L));
    }

    private static Optional<Long> resident(long pid) {
        try {
            return Files.readAllLines(Path.of("/proc/" + pid + "/status")).stream()
                    .filter(line -> line.startsWith("VmRSS:"))
                    .map(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
                    .findFirst();
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
