package org.wigeonferry.measurements;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.client.HttpClient;
import org.wigeonferry.command_line.DemoCaller;
import org.wigeonferry.command_line.DemoDeployment;
import org.wigeonferry.command_line.DemoEntry;
import org.wigeonferry.command_line.DemoKind;
import org.wigeonferry.command_line.DemoNotes;
import org.wigeonferry.command_line.DemoOperator;
import org.wigeonferry.command_line.DemoOutcome;
import org.wigeonferry.command_line.DemoPlan;
import org.wigeonferry.command_line.DemoUpstream;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.node_runtime.HttpClients;
import org.wigeonferry.platform_clients.JsonHttpClient;

/**
 * Processor time and memory of real entries and agents under streamed requests.
 *
 * <p>Not thread safe.
 */
final class ProcessCost implements AutoCloseable {
    private static final List<String> ZONES = List.of("ibadan", "oyo-town", "ogbomoso");
    private static final int ENGINES_PER_ZONE = 2;
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    private final DemoDeployment deployment;
    private final HttpClient client;
    private final DemoCaller caller;
    private final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1);
    private final AtomicInteger number = new AtomicInteger();

    ProcessCost(int tokens) throws StepException {
        DemoPlan plan =
                DemoPlan.of(ZONES, ENGINES_PER_ZONE, 0)
                        .withEngineSettings("tokens = " + tokens + "\n");
        deployment = new DemoDeployment(plan);
        client = HttpClients.startHttp1("measuring-client", Duration.ofSeconds(2));
        caller = new DemoCaller(client);
        deployment.start();
        DemoOperator.apply(plan.entries().get(0), DemoNotes.first(plan));
    }

    /** Sends at a rate for a time; nothing at rate zero. */
    ProcessLoad run(int requestsPerSecond, Duration length) throws StepException {
        List<CompletableFuture<DemoOutcome>> sent = new ArrayList<>();
        int writesBefore = tableWrites();
        List<ProcessUse> entriesBefore = uses("entry-");
        List<ProcessUse> agentsBefore = uses("agent-");
        long count = requestsPerSecond * length.toSeconds();
        for (int i = 0; i < count; i++) {
            sent.add(schedule(i * NANOS_PER_SECOND / requestsPerSecond));
        }
        CompletableFuture<Boolean> over = new CompletableFuture<>();
        timer.schedule(() -> over.complete(true), length.toNanos(), TimeUnit.NANOSECONDS);
        over.join();
        sent.forEach(CompletableFuture::join);
        return new ProcessLoad(
                requestsPerSecond,
                length,
                busyShare(entriesBefore, uses("entry-"), length),
                busyShare(agentsBefore, uses("agent-"), length),
                resident(uses("entry-")),
                resident(uses("agent-")),
                (double) (tableWrites() - writesBefore) / length.toSeconds());
    }

    @Override
    public void close() throws Exception {
        deployment.close();
        timer.shutdownNow();
        client.stop();
    }

    private CompletableFuture<DemoOutcome> schedule(long delayNanos) {
        CompletableFuture<DemoOutcome> outcome = new CompletableFuture<>();
        timer.schedule(() -> send(outcome), delayNanos, TimeUnit.NANOSECONDS);
        return outcome;
    }

    private void send(CompletableFuture<DemoOutcome> outcome) {
        int id = number.incrementAndGet();
        List<DemoEntry> entries = deployment.plan().entries();
        caller.chat(
                        entries.get(id % entries.size()),
                        DemoNotes.ACCOUNTS.get(id % DemoNotes.ACCOUNTS.size()),
                        DemoKind.STREAM,
                        "m-" + id,
                        "small",
                        "prompt " + id)
                .whenComplete((o, failure) -> outcome.complete(o));
    }

    private int tableWrites() {
        return new JsonHttpClient(client, deployment.plan().table(), TIMEOUT)
                .fetch("/ledger")
                .join()
                .body()
                .path("writes")
                .asInt();
    }

    private List<ProcessUse> uses(String prefix) {
        List<ProcessUse> uses = new ArrayList<>();
        for (DemoEntry entry : deployment.plan().entries()) {
            addUse(uses, prefix, entry.name());
        }
        for (DemoUpstream upstream : deployment.plan().upstreams()) {
            addUse(uses, prefix, "agent-" + upstream.name());
        }
        return uses;
    }

    private void addUse(List<ProcessUse> uses, String prefix, String name) {
        if (name.startsWith(prefix)) {
            deployment.process(name).ifPresent(p -> uses.add(ProcessUse.of(p.pid())));
        }
    }

    /** Share of a core that all processes of a role used together. */
    private static double busyShare(
            List<ProcessUse> before, List<ProcessUse> after, Duration length) {
        long nanos = 0;
        for (int i = 0; i < before.size(); i++) {
            nanos += after.get(i).processorTime().minus(before.get(i).processorTime()).toNanos();
        }
        return (double) nanos / length.toNanos();
    }

    private static double resident(List<ProcessUse> uses) {
        return uses.stream().mapToLong(ProcessUse::residentKilobytes).average().orElse(0) / 1024;
    }
}
