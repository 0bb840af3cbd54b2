package org.wigeonferry.command_line;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.wigeonferry.core_types.StepException;

/**
 * A child process that runs one daemon.
 *
 * <p>Thread safe.
 */
public final class DemoProcess {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(20);

    private final String name;
    private final Process process;
    private final CompletableFuture<Boolean> ready = new CompletableFuture<>();

    /** Starts a daemon by the words of its command; its log goes to a file. */
    public DemoProcess(String name, List<String> command, Path logFile) throws StepException {
        this.name = name;
        List<String> words = new ArrayList<>();
        words.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        words.addAll(
                List.of("-Xmx128m", "-Xss512k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"));
        words.addAll(List.of("-cp", System.getProperty("java.class.path")));
        words.add(Main.class.getName());
        words.addAll(command);
        try {
            process = new ProcessBuilder(words).redirectError(new File(logFile.toString())).start();
        } catch (IOException e) {
            throw new StepException("start process", name, e);
        }
        Thread reader = new Thread(this::readOutput, "output of " + name);
        reader.setDaemon(true);
        reader.start();
    }

    /** Waits until the daemon serves. */
    public void awaitReady() throws StepException {
        try {
            if (!ready.get(START_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
                throw new StepException("start process", name, "ended before it was ready");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new StepException("start process", name, e);
        } catch (ExecutionException | TimeoutException e) {
            throw new StepException("start process", name, e);
        }
    }

    /** Ends the process without warning. */
    public void kill() {
        process.destroyForcibly();
    }

    /** Sends the signal of a planned stop. */
    public void terminate() {
        process.destroy();
    }

    /** Waits until the process has ended. */
    public boolean awaitEnd() {
        try {
            return process.waitFor(STOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Process id. */
    public long pid() {
        return process.pid();
    }

    /** Name of the daemon. */
    public String name() {
        return name;
    }

    private void readOutput() {
        try (BufferedReader output =
                new BufferedReader(
                        new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            String line = output.readLine();
            while (line != null) {
                if (line.equals(DaemonCommands.READY)) {
                    ready.complete(true);
                }
                line = output.readLine();
            }
        } catch (IOException e) {
            ready.completeExceptionally(e);
        }
        ready.complete(false);
    }
}
