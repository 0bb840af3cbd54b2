package org.wigeonferry.command_line;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.node_runtime.HttpClients;
import org.wigeonferry.platform_clients.JsonHttpClient;
import org.wigeonferry.platform_clients.JsonResponse;

/** A small deployment of real processes, with ways to make it fail. */
final class FailureHarness implements AutoCloseable {
    static final List<String> ZONES = List.of("ibadan", "oyo-town", "ogbomoso");

    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final DemoDeployment deployment;
    private final HttpClient client;
    private final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1);
    private final DemoCaller caller;
    private final DemoLedgers ledgers;
    private final Set<CompletableFuture<DemoOutcome>> open = ConcurrentHashMap.newKeySet();
    private int number;

    FailureHarness() throws StepException {
        DemoPlan plan = DemoPlan.of(ZONES, 1, 1);
        deployment = new DemoDeployment(plan);
        client = HttpClients.startHttp1("test-client", Duration.ofSeconds(2));
        caller = new DemoCaller(client);
        ledgers = new DemoLedgers(client, plan);
        deployment.start();
        apply(0, DemoNotes.first(plan));
        for (DemoEntry entry : plan.entries()) {
            new JsonHttpClient(client, entry.callers(), TIMEOUT).fetch("/ready?wait=true").join();
        }
    }

    DemoDeployment deployment() {
        return deployment;
    }

    HttpClient client() {
        return client;
    }

    DemoPlan plan() {
        return deployment.plan();
    }

    DemoLedgers ledgers() {
        return ledgers;
    }

    DemoEntry entry(int index) {
        return plan().entries().get(index);
    }

    JsonResponse apply(int entry, String note) throws StepException {
        try (AdminClient admin = new AdminClient(entry(entry).admins(), DemoFiles.ADMIN_KEY)) {
            return admin.postNote(note, false);
        }
    }

    JsonResponse show(int entry, String path) throws StepException {
        try (AdminClient admin = new AdminClient(entry(entry).admins(), DemoFiles.ADMIN_KEY)) {
            return admin.show(path);
        }
    }

    /** Attempts that an entry saw fail. */
    long attemptFailures(int entry) {
        var metrics =
                new JsonHttpClient(client, entry(entry).admins(), TIMEOUT).fetch("/metrics.json");
        long failures = 0;
        for (var members = metrics.join().body().fields(); members.hasNext(); ) {
            var member = members.next();
            if (member.getKey().startsWith("attempt_failures")) {
                failures += member.getValue().asLong();
            }
        }
        return failures;
    }

    /** Sends chat requests at a pace, to the entries named in turn. */
    CompletableFuture<List<DemoOutcome>> chats(
            int count, Duration pace, String model, int... entries) {
        List<CompletableFuture<DemoOutcome>> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int entry = entries[i % entries.length];
            String id = nextId();
            CompletableFuture<DemoOutcome> outcome = new CompletableFuture<>();
            all.add(outcome);
            timer.schedule(
                    () -> sendChat(entry, id, model, outcome),
                    pace.toNanos() * i,
                    TimeUnit.NANOSECONDS);
        }
        return all(all);
    }

    /** Waits until every request of {@link #chats} that has been sent by now is over. */
    void awaitSentSoFar() {
        CompletableFuture.allOf(open.toArray(new CompletableFuture<?>[0])).join();
    }

    private void sendChat(
            int entry, String id, String model, CompletableFuture<DemoOutcome> outcome) {
        open.add(outcome);
        caller.chat(entry(entry), "palace", DemoKind.DRAFT, id, model, "prompt " + id)
                .whenComplete(
                        (o, f) -> {
                            open.remove(outcome);
                            outcome.complete(o);
                        });
    }

    CompletableFuture<DemoOutcome> chat(int entry, String prompt) {
        return caller.chat(entry(entry), "palace", DemoKind.DRAFT, nextId(), "auto", prompt);
    }

    CompletableFuture<DemoOutcome> book(int entry, String key) {
        return caller.book(entry(entry), "palace", key, "{}");
    }

    CompletableFuture<List<DemoOutcome>> books(int count, int entry, String prefix) {
        List<CompletableFuture<DemoOutcome>> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(book(entry, prefix + i));
        }
        return all(all);
    }

    /** Holder of the roll-out's lease, or an empty text. */
    String leaseHolder() {
        String path = "/v1/row?key=lease/rollout";
        String value =
                new JsonHttpClient(client, plan().table(), TIMEOUT)
                        .fetch(path)
                        .join()
                        .body()
                        .path("value")
                        .asText();
        return JsonHttpClient.parseJson(value).path("holder").asText();
    }

    void tableFault(String fault) {
        new JsonHttpClient(client, plan().table(), TIMEOUT)
                .post("/control/fault", JsonHttpClient.newObject().put("fault", fault))
                .join();
    }

    void crashEngine(DemoUpstream engine) {
        post(engine.address(), "/control/crash").exceptionally(e -> null).join();
    }

    void leave(DemoUpstream upstream) {
        post(upstream.address(), "/control/leave").join();
    }

    /** Sends a signal to a process of the deployment. */
    void signal(String process, String signal) throws StepException {
        long pid = deployment.process(process).orElseThrow().pid();
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start().waitFor();
        } catch (IOException e) {
            throw new StepException("signal", process, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void pause(Duration duration) {
        CompletableFuture<Boolean> over = new CompletableFuture<>();
        timer.schedule(() -> over.complete(true), duration.toNanos(), TimeUnit.NANOSECONDS);
        over.join();
    }

    DemoUpstream engine(int index) {
        return plan().upstreams().stream().filter(DemoUpstream::engine).toList().get(index);
    }

    @Override
    public void close() throws Exception {
        deployment.close();
        timer.shutdownNow();
        client.stop();
    }

    private String nextId() {
        number++;
        return "t-" + number;
    }

    private CompletableFuture<JsonResponse> post(HostAddress address, String path) {
        return new JsonHttpClient(client, address, TIMEOUT).post(path, JsonHttpClient.newObject());
    }

    private static <T> CompletableFuture<List<T>> all(List<CompletableFuture<T>> futures) {
        return CompletableFuture.allOf(futures.toArray(new CompletableFuture<?>[0]))
                .thenApply(done -> futures.stream().map(CompletableFuture::join).toList());
    }
}
