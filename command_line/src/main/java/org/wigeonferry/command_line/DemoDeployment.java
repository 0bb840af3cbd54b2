package org.wigeonferry.command_line;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wigeonferry.core_types.StepException;

/**
 * The running processes of a demo deployment.
 *
 * <p>Not thread safe; used by the main thread.
 */
public final class DemoDeployment implements AutoCloseable {
    private final DemoPlan plan;
    private final Path directory;
    private final Map<String, DemoProcess> processes = new LinkedHashMap<>();

    /** Prepares a deployment. */
    public DemoDeployment(DemoPlan plan) throws StepException {
        this.plan = plan;
        try {
            directory = Files.createTempDirectory("wigeonferry-demo");
        } catch (IOException e) {
            throw new StepException("make directory", "demo", e);
        }
    }

    /** The plan of the deployment. */
    public DemoPlan plan() {
        return plan;
    }

    /** Where settings and logs are. */
    public Path directory() {
        return directory;
    }

    /** Starts all processes and waits until they serve. */
    public void start() throws StepException {
        DemoFiles files = new DemoFiles(directory, plan);
        run("table", List.of("stand-in", "table", "--config", files.table().toString()));
        for (DemoUpstream upstream : plan.upstreams()) {
            String file = files.upstream(upstream).toString();
            run(upstream.name(), List.of("stand-in", upstream.kind(), "--config", file));
        }
        awaitReady();
        for (DemoEntry entry : plan.entries()) {
            startEntry(entry);
        }
        for (DemoUpstream upstream : plan.upstreams()) {
            startAgent(upstream);
        }
        awaitReady();
    }

    /** Starts an entry, again if need be. */
    public void startEntry(DemoEntry entry) throws StepException {
        String file = new DemoFiles(directory, plan).entry(entry).toString();
        run(entry.name(), List.of("entry", "--config", file));
    }

    /** Starts the agent of an upstream, again if need be. */
    public void startAgent(DemoUpstream upstream) throws StepException {
        String file = new DemoFiles(directory, plan).agent(upstream).toString();
        run("agent-" + upstream.name(), List.of("agent", "--config", file));
    }

    /** Finds a process by its name. */
    public Optional<DemoProcess> process(String name) {
        return Optional.ofNullable(processes.get(name));
    }

    /** Waits until all processes serve. */
    public void awaitReady() throws StepException {
        for (DemoProcess process : processes.values()) {
            process.awaitReady();
        }
    }

    /** Stops entries first, then agents, as planned. */
    public void stopDaemons() {
        stop("entry-");
        stop("agent-");
    }

    /** Stops entries first, then agents; the stand-ins have nothing to lose. */
    @Override
    public void close() {
        stopDaemons();
        processes.values().forEach(DemoProcess::kill);
        processes.values().forEach(DemoProcess::awaitEnd);
        processes.clear();
    }

    private void stop(String prefix) {
        List<DemoProcess> stopping = new ArrayList<>();
        for (DemoProcess process : processes.values()) {
            if (process.name().startsWith(prefix)) {
                process.terminate();
                stopping.add(process);
            }
        }
        for (DemoProcess process : stopping) {
            if (!process.awaitEnd()) {
                process.kill();
            }
        }
        processes.keySet().removeIf(name -> name.startsWith(prefix));
    }

    private void run(String name, List<String> command) throws StepException {
        processes.put(name, new DemoProcess(name, command, directory.resolve(name + ".log")));
    }
}
