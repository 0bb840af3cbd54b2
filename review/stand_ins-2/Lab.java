import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** Times, threads and the ends of a script. */
final class Lab {
    /** The bounds of the sheet of agbalagba-crier, as the settings give them. */
    static final Map<String, String> BOUNDS =
            Map.ofEntries(
                    Map.entry("bounds.retry_budget_ratio", "0.9"),
                    Map.entry("bounds.budget_extra", "54"),
                    Map.entry("bounds.budget_window_s", "10"),
                    Map.entry("bounds.cold_overage", "1.5"),
                    Map.entry("bounds.cold_slack", "5"),
                    Map.entry("bounds.exposure_share", "0.15"),
                    Map.entry("bounds.exposure_slack", "30"),
                    Map.entry("bounds.session_s", "5"),
                    Map.entry("bounds.revoke_ms", "5000"),
                    Map.entry("bounds.drain_ms", "2000"),
                    Map.entry("bounds.grace_s", "8"));

    private static final long START = System.nanoTime();

    /** A script may run for 120 seconds. */
    private static final long MAX_MILLIS = 115_000;

    private Lab() {}

    /** Whether the disruption is to be brought about. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static long millis() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void sleep(long time) {
        try {
            Thread.sleep(Math.max(0, time));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static Path temporaryFolder() throws IOException {
        daemon(
                "watchdog",
                () -> {
                    sleep(MAX_MILLIS);
                    cannotRun("not over after " + MAX_MILLIS + " ms");
                });
        Path folder = Files.createTempDirectory("review-2-");
        Runtime.getRuntime().addShutdownHook(new Thread(() -> delete(folder)));
        return folder;
    }

    private static void delete(Path folder) {
        if (System.getenv("KEEP") != null) {
            return;
        }
        try (var files = Files.list(folder)) {
            files.forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // Nothing is left to delete.
        }
        folder.toFile().delete();
    }

    static void cannotRun(String why) {
        System.out.println("can't run: " + why);
        System.exit(2);
    }

    /** Ends the script: 1 if the rule was broken, 0 if it held. */
    static void end(Record record, boolean broken, String what) {
        record.line((broken ? "BROKEN: " : "held: ") + what);
        System.out.println((broken ? "BROKEN: " : "held: ") + what);
        System.exit(broken ? 1 : 0);
    }

    /** A configuration without keys: one route of a kind to one service. */
    static String config(int version, String routes, String services, String more) {
        return "{\"version\":"
                + version
                + ",\"routes\":["
                + routes
                + "],\"services\":["
                + services
                + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}"
                + more
                + "}";
    }

    static String route(String prefix, String type, int timeoutMillis, String service, int attempts, String more) {
        return String.format(
                "{\"name\":\"r%s\",\"host\":\"lab.example\",\"prefix\":\"%s\",\"route_type\":\"%s\","
                        + "\"timeout_ms\":%d,\"target_latency_ms\":2000,\"priority\":1,"
                        + "\"service\":\"%s\",\"max_attempts\":%d%s}",
                prefix.replace("/", "-"), prefix, type, timeoutMillis, service, attempts, more);
    }

    static String service(String name) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_connections\":100,"
                + "\"cold_start_s\":0.0,\"cold_per_s\":0.0}";
    }
}
