package org.wigeonferry.command_line;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.commons.cli.CommandLine;
import org.eclipse.jetty.client.HttpClient;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.node_runtime.HttpClients;
import org.wigeonferry.node_runtime.LoggingSetup;
import org.wigeonferry.platform_clients.JsonHttpClient;

/**
 * Runs a deployment of three availability zones under load, through a roll-out, a zone that leaves
 * and returns, and the loss of an agent.
 *
 * <p>Not thread safe; used by the main thread.
 */
final class DemoCommand implements AutoCloseable {
    private static final String[] WITH_VALUE = {"seconds"};
    private static final String DEFAULT_SECONDS = "20";
    private static final List<String> ZONES = List.of("ibadan", "oyo-town", "ogbomoso");
    private static final String LEAVING_ZONE = "ogbomoso";
    private static final Duration REQUEST_PAUSE = Duration.ofMillis(20);
    private static final Duration IN_FORCE = Duration.ofSeconds(3);
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);
    private static final long SEED = 20_261_204;

    private final DemoDeployment deployment;
    private final HttpClient client;
    private final ScheduledExecutorService timer = new ScheduledThreadPoolExecutor(1);
    private final DemoLedgers ledgers;
    private int disallowed;

    private DemoCommand() throws StepException {
        DemoPlan plan = DemoPlan.of(ZONES, 2, 1);
        deployment = new DemoDeployment(plan);
        client = HttpClients.startHttp1("demo-client", Duration.ofSeconds(2));
        ledgers = new DemoLedgers(client, plan);
    }

    static Command run() {
        return arguments -> {
            LoggingSetup.logToStderr(false);
            CommandLine line = Arguments.parse("demo", arguments, WITH_VALUE);
            int seconds = Integer.parseInt(line.getOptionValue("seconds", DEFAULT_SECONDS));
            try (DemoCommand demo = new DemoCommand()) {
                return demo.play(Duration.ofSeconds(seconds)) ? ExitCodes.OK : ExitCodes.FAILED;
            }
        };
    }

    @Override
    public void close() throws StepException {
        deployment.close();
        timer.shutdownNow();
        try {
            client.stop();
        } catch (Exception e) {
            throw new StepException("stop client", "demo", e);
        }
    }

    private boolean play(Duration length) throws StepException {
        tell("starting processes; logs in " + deployment.directory());
        deployment.start();
        apply(DemoNotes.first(deployment.plan()));
        awaitEntries();
        DemoLoad load =
                new DemoLoad(new DemoCaller(client), deployment.plan().entries(), timer, SEED);
        load.start(REQUEST_PAUSE);
        Duration step = length.dividedBy(5);
        pause(step);
        rollOut(step);
        leaveAndReturn(step);
        loseAgent();
        pause(step);
        tell("waiting for the last answers");
        List<DemoOutcome> outcomes = join("collect answers", load.finish());
        disallowed += ledgers.starts(DemoNotes.FORBIDDEN, upstream -> true);
        tell("stopping entries and agents");
        stopDaemons();
        return new DemoReport(outcomes, ledgers, disallowed).print();
    }

    private void rollOut(Duration step) throws StepException {
        tell("rolling out small-2 to 20 in 100");
        apply(DemoNotes.rollOut(deployment.plan(), "small-2", 20));
        pause(step.dividedBy(2));
        tell("rolling out small-2 to all, withdrawing small-1");
        apply(DemoNotes.rollOut(deployment.plan(), "small-2", 100));
        apply(DemoNotes.withdraw());
        pause(IN_FORCE);
        int before = ledgers.starts("small-1", upstream -> true);
        pause(step.dividedBy(2));
        disallowed += ledgers.starts("small-1", upstream -> true) - before;
    }

    private void leaveAndReturn(Duration step) throws StepException {
        tell("taking zone " + LEAVING_ZONE + " out");
        apply(DemoNotes.zone(LEAVING_ZONE, "out"));
        pause(IN_FORCE);
        int before = ledgers.starts(upstream -> upstream.zone().equals(LEAVING_ZONE));
        pause(step.dividedBy(2));
        disallowed += ledgers.starts(upstream -> upstream.zone().equals(LEAVING_ZONE)) - before;
        tell("bringing zone " + LEAVING_ZONE + " back");
        apply(DemoNotes.zone(LEAVING_ZONE, "in"));
    }

    private void loseAgent() {
        String name = "agent-" + deployment.plan().upstreams().get(0).name();
        tell("killing " + name);
        deployment.process(name).ifPresent(DemoProcess::kill);
    }

    /** Stops entries and agents as planned; the stand-ins stay, since their ledgers are read. */
    private void stopDaemons() {
        deployment.stopDaemons();
    }

    private void apply(String note) throws StepException {
        DemoEntry entry = deployment.plan().entries().get(0);
        tell("  " + DemoOperator.apply(entry, note).body());
    }

    private void awaitEntries() throws StepException {
        for (DemoEntry entry : deployment.plan().entries()) {
            JsonHttpClient calls = new JsonHttpClient(client, entry.callers(), READY_TIMEOUT);
            join("await entry", calls.fetch("/ready?wait=true"));
        }
    }

    private void pause(Duration duration) throws StepException {
        CompletableFuture<Boolean> over = new CompletableFuture<>();
        timer.schedule(() -> over.complete(true), duration.toNanos(), TimeUnit.NANOSECONDS);
        join("pause", over);
    }

    private static <T> T join(String step, CompletableFuture<T> future) throws StepException {
        try {
            return future.join();
        } catch (CompletionException e) {
            throw new StepException(step, "demo", e);
        }
    }

    private static void tell(String text) {
        System.out.println(text);
    }
}
