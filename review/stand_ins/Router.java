package review;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A router process, started with the command of deploy/system.toml and with settings made from the
 * template of deploy/router.ini. Run in the repository's root.
 */
public final class Router implements AutoCloseable {
    private static final Pattern SECTION = Pattern.compile("\\{\\{#([^}]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL);
    private static final Pattern VALUE = Pattern.compile("\\{\\{([^}#/^]+)}}");

    private final String name;
    private final Record record;
    private final Path log;
    private final Process process;
    private final String callers;
    private final String ready;

    public Router(String name, String store, Path folder, Record record) throws IOException {
        this.name = name;
        this.record = record;
        callers = "127.0.0.1:" + freePort();
        ready = "127.0.0.1:" + freePort();
        Map<String, String> values = new HashMap<>(BOUNDS);
        values.put("node_name", name);
        values.put("zone", "zone-a");
        values.put("ip", "127.0.0.1");
        values.put("listen.front", callers);
        values.put("listen.ready", ready);
        values.put("port_range.0", Integer.toString(freePort()));
        values.put("platform.address", store);
        String template =
                Files.readString(Path.of("deploy/router.ini"))
                        .replace("{{ip}}:9464", "127.0.0.1:" + freePort());
        Path settings = folder.resolve(name + ".ini");
        Files.writeString(settings, render(template, values));
        log = folder.resolve(name + ".log");
        String run =
                Files.readAllLines(Path.of("deploy/system.toml")).stream()
                        .filter(line -> line.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        String command =
                run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'))
                        .replace("/etc/wigeonferry/settings.toml", settings.toString());
        process =
                new ProcessBuilder(List.of(command.split(" ")))
                        .redirectErrorStream(true)
                        .redirectOutput(log.toFile())
                        .start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        record.line("router " + name + " started, process " + process.pid());
    }

    /** The bounds of a small deployment, as DEPLOY.md shows them. */
    private static final Map<String, String> BOUNDS =
            Map.ofEntries(
                    Map.entry("bounds.retry_budget_ratio", "0.9"),
                    Map.entry("bounds.budget_extra", "54"),
                    Map.entry("bounds.budget_window_s", "10"),
                    Map.entry("bounds.cold_overage", "1.5"),
                    Map.entry("bounds.cold_slack", "5"),
                    Map.entry("bounds.exposure_share", "0.15"),
                    Map.entry("bounds.session_s", "5"),
                    Map.entry("bounds.revoke_ms", "5000"),
                    Map.entry("bounds.drain_ms", "2000"),
                    Map.entry("bounds.grace_s", "8"));

    public String callers() {
        return callers;
    }

    public Path log() {
        return log;
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    public long pid() {
        return process.pid();
    }

    /** Asks the readiness address as the platform does; true for 200. */
    public boolean isReady() {
        try {
            return Caller.get(ready, "/api/ready", 1000).status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits until the router says that it is ready. */
    public void awaitReady() {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!isReady()) {
            if (System.nanoTime() > end || !process.isAlive()) {
                throw new IllegalStateException("router " + name + " is not ready; see " + log);
            }
            AppServer.pause(50);
        }
        record.line("router " + name + " is ready");
    }

    /** Sends SIGTERM. */
    public void terminate() {
        record.line("SIGTERM to router " + name);
        process.destroy();
    }

    /** Sends a signal by name. */
    public void signal(String signal) throws IOException, InterruptedException {
        record.line("SIG" + signal + " to router " + name);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    public boolean awaitEnd(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    public int exitCode() {
        return process.exitValue();
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String render(String template, Map<String, String> values) {
        Matcher sections = SECTION.matcher(template);
        String flat = sections.replaceAll(m -> values.containsKey(m.group(1)) ? Matcher.quoteReplacement(m.group(2)) : "");
        Matcher fields = VALUE.matcher(flat);
        return fields.replaceAll(m -> Matcher.quoteReplacement(values.getOrDefault(m.group(1), "")));
    }

    private static int freePort() throws IOException {
        while (true) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                int port = socket.getLocalPort();
                new DatagramSocket(port, InetAddress.getLoopbackAddress()).close();
                return port;
            } catch (java.net.BindException e) {
                // Taken for datagrams; the next one is tried.
            }
        }
    }
}
