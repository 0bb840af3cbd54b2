package org.wigeonferry.command_line.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.wigeonferry.command_line.DemoPorts;
import org.wigeonferry.command_line.Main;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.StepException;

/**
 * A router process, with its own link to the store.
 *
 * <p>Thread safe; started and stopped by one thread.
 */
final class SoakRouter implements AutoCloseable {
    private static final Duration READY_WAIT = Duration.ofSeconds(30);
    private static final Duration END_WAIT = Duration.ofSeconds(20);

    private final String name;
    private final Path directory;
    private final HostAddress callers;
    private final HostAddress ready;
    private final FaultyLink store;
    private final Path settings;
    private Process process;
    private int starts;
    private volatile boolean takesRequests;

    SoakRouter(String name, Path directory, DemoPorts ports, HostAddress storeAddress)
            throws StepException, IOException {
        this.name = name;
        this.directory = directory;
        callers = ports.next();
        ready = ports.next();
        store = new FaultyLink(storeAddress);
        settings = directory.resolve(name + ".ini");
        Files.writeString(
                settings,
                "[node]\nname = "
                        + name
                        + "\navailability-zone = z\n[listen]\ncallers = "
                        + callers
                        + "\nready = "
                        + ready
                        + "\nmetrics = "
                        + ports.next()
                        + "\npeers = "
                        + ports.next()
                        + "\n[store]\naddress = "
                        + store.address()
                        + "\n");
    }

    /** Starts the process; it takes requests once it says that it is ready. */
    void start() throws StepException {
        starts++;
        try {
            process =
                    new ProcessBuilder(
                                    Path.of(System.getProperty("java.home"), "bin", "java")
                                            .toString(),
                                    "-Xmx128m",
                                    "-XX:+UseSerialGC",
                                    "-XX:TieredStopAtLevel=1",
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    Main.class.getName(),
                                    "router",
                                    "--config",
                                    settings.toString())
                            .redirectErrorStream(true)
                            .redirectOutput(
                                    directory.resolve(name + "-" + starts + ".log").toFile())
                            .start();
        } catch (IOException e) {
            throw new StepException("start", name, e);
        }
    }

    /** Waits until the process says that it is ready. */
    void awaitReady() throws StepException {
        long end = System.nanoTime() + READY_WAIT.toNanos();
        while (!saysReady()) {
            if (System.nanoTime() - end > 0 || !process.isAlive()) {
                throw new StepException("wait until ready", name, "log in " + directory);
            }
            pause();
        }
        takesRequests = true;
    }

    private boolean saysReady() {
        byte[] answer = SoakCaller.exchange(ready, "GET / HTTP/1.1\r\nHost: ready\r\n\r\n");
        return SoakAnswer.parse(answer).status() == 200;
    }

    private void pause() throws StepException {
        try {
            Thread.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new StepException("wait until ready", name, e);
        }
    }

    HostAddress callers() {
        return callers;
    }

    FaultyLink store() {
        return store;
    }

    /** Whether callers are led here. */
    boolean takesRequests() {
        return takesRequests;
    }

    void kill() {
        takesRequests = false;
        process.destroyForcibly();
    }

    /** Callers are led elsewhere from now on, as a balancer does. */
    void terminate() {
        takesRequests = false;
        process.destroy();
    }

    /** Waits until the process has ended. */
    void awaitEnd() throws StepException {
        try {
            if (!process.waitFor(END_WAIT.toMillis(), TimeUnit.MILLISECONDS)) {
                throw new StepException("wait for the end", name, "still runs");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new StepException("wait for the end", name, e);
        }
    }

    void signal(String signal) throws StepException {
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new StepException("signal " + signal, name, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new StepException("signal " + signal, name, e);
        }
    }

    @Override
    public void close() throws IOException {
        if (process != null) {
            process.destroyForcibly();
        }
        store.close();
    }
}
