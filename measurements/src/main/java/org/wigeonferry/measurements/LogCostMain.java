package org.wigeonferry.measurements;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.node_runtime.LoggingSetup;

/**
 * Measures what a line of a router's log costs a process, from the call to standard output.
 *
 * <p>Not thread safe.
 */
public final class LogCostMain {
    private static final int WARM_UP_LINES = 20_000;
    private static final int LINES = 100_000;

    /** Fewer than the queue holds, so that nothing is dropped. */
    private static final int BURST = 200;

    private static final int PAUSE_MILLIS = 10;

    private LogCostMain() {}

    /** Writes lines to standard output and the result to standard error. */
    public static void main(String[] arguments) {
        LongSupplier dropped = LoggingSetup.logJsonLinesToStdout();
        OperatingSystemMXBean process =
                (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        write(WARM_UP_LINES);
        long before = process.getProcessCpuTime();
        write(LINES);
        double micros = (process.getProcessCpuTime() - before) / 1000.0 / LINES;
        System.err.printf(
                "log lines: %d, dropped: %d, processor time a line: %.1f us%n",
                LINES, dropped.getAsLong(), micros);
    }

    private static void write(int lines) {
        Logger log = LoggerFactory.getLogger("call");
        for (int i = 0; i < lines; i++) {
            line(log, i);
            if (i % BURST == BURST - 1) {
                pause();
            }
        }
    }

    /** A line as long as the longest that a request causes. */
    private static void line(Logger log, int number) {
        log.atInfo()
                .addKeyValue("request", "23d52558049b" + number)
                .addKeyValue("route", "r-685w2cc")
                .addKeyValue("service", "kade56b")
                .addKeyValue("upstream", "i-695cbbe669")
                .addKeyValue("peer", "10.1.64.13:8669")
                .addKeyValue("release", "v1")
                .addKeyValue("model", "zizi630861")
                .addKeyValue("revision", 6)
                .addKeyValue("left_ms", 963)
                .addKeyValue("unread_tokens", number)
                .addKeyValue("session", "")
                .addKeyValue("predicted_ms", 84)
                .log("placed");
    }

    private static void pause() {
        new CompletableFuture<Void>()
                .completeOnTimeout(null, PAUSE_MILLIS, TimeUnit.MILLISECONDS)
                .join();
    }
}
