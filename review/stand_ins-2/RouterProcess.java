import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramSocket;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A router, started with the command and the settings template of the deploy file. */
final class RouterProcess {
    private static final Pattern SECTION =
            Pattern.compile("\\{\\{#([a-z0-9_.]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL);
    private static final Pattern VALUE = Pattern.compile("\\{\\{([a-z0-9_.]+)}}");

    final String name;
    final int callerPort;
    final int readyPort;
    private final Path settings;
    private final Path log;
    private Process process;

    RouterProcess(Path folder, String name, String zone, int storePort, Map<String, String> bounds)
            throws IOException {
        this.name = name;
        callerPort = freePort();
        readyPort = freePort();
        settings = folder.resolve(name + ".ini");
        log = folder.resolve(name + ".log");
        Map<String, String> values = new java.util.HashMap<>(bounds);
        values.put("node_name", name);
        values.put("zone", zone);
        values.put("ip", "127.0.0.1");
        values.put("listen.front", "127.0.0.1:" + callerPort);
        values.put("listen.ready", "127.0.0.1:" + readyPort);
        values.put("port_range.0", String.valueOf(freePort()));
        values.put("platform.address", "127.0.0.1:" + storePort);
        String template = Files.readString(Path.of("deploy/router.ini"));
        String text = fill(template, values);
        // The template names one port for metrics, and all processes share an address here.
        text = text.replace("127.0.0.1:9464", "127.0.0.1:" + freePort());
        Files.writeString(settings, text);
    }

    private static String fill(String template, Map<String, String> values) {
        String text =
                SECTION.matcher(template)
                        .replaceAll(
                                m ->
                                        values.containsKey(m.group(1))
                                                ? Matcher.quoteReplacement(m.group(2))
                                                : "");
        return VALUE.matcher(text)
                .replaceAll(m -> Matcher.quoteReplacement(values.getOrDefault(m.group(1), "")));
    }

    private static int freePort() throws IOException {
        while (true) {
            try (ServerSocket tcp = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                    DatagramSocket udp =
                            new DatagramSocket(
                                    tcp.getLocalPort(), InetAddress.getByName("127.0.0.1"))) {
                return udp.getLocalPort();
            } catch (java.net.BindException e) {
                continue;
            }
        }
    }

    void start() throws IOException {
        String command = "";
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        List<String> words = new ArrayList<>(List.of(command.split(" ")));
        words.set(words.indexOf("/etc/wigeonferry/settings.toml"), settings.toString());
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    boolean isReady() {
        try {
            HttpURLConnection call =
                    (HttpURLConnection)
                            URI.create("http://127.0.0.1:" + readyPort + "/api/ready")
                                    .toURL()
                                    .openConnection();
            call.setConnectTimeout(1000);
            call.setReadTimeout(1000);
            return call.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    void awaitReady() {
        long end = Lab.millis() + 30_000;
        while (!isReady()) {
            if (Lab.millis() > end || !process.isAlive()) {
                Lab.cannotRun("router " + name + " is not ready");
            }
            Lab.sleep(100);
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    long pid() {
        return process.pid();
    }

    /** Sends a signal to this process only. */
    void signal(String signalName) {
        try {
            new ProcessBuilder("kill", "-" + signalName, String.valueOf(process.pid()))
                    .inheritIO()
                    .start()
                    .waitFor();
        } catch (IOException | InterruptedException e) {
            Lab.cannotRun("kill: " + e);
        }
    }

    void kill() {
        process.destroyForcibly();
    }

    /** A line of /proc/PID/status in kB; -1 if there is none. */
    long memoryKilobytes(String field) {
        try {
            for (String line : Files.readAllLines(Path.of("/proc/" + pid() + "/status"))) {
                if (line.startsWith(field + ":")) {
                    return Long.parseLong(line.replaceAll("[^0-9]", ""));
                }
            }
        } catch (IOException e) {
            return -1;
        }
        return -1;
    }

    /** Lines of the router's log that contain a text. */
    long logLines(String text) {
        try (InputStream in = Files.newInputStream(log)) {
            return new String(in.readAllBytes()).lines().filter(l -> l.contains(text)).count();
        } catch (IOException e) {
            return 0;
        }
    }

    Path log() {
        return log;
    }
}
