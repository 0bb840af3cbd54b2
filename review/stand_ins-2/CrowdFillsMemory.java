import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers that nobody controls send requests that are large, but legal in size: with long names of
 * prompt parts, or with long bodies. Ordinary callers go on beside them, and after they have left.
 * Counts the ordinary requests that get no answer in time.
 */
final class CrowdFillsMemory {
    private static final int CALLERS_WITH_NAMES = 24;
    private static final int CALLERS_WITH_BODIES = 32;
    private static final int CROWD_MILLIS = 60_000;

    /** In the run without trouble, where all are served at once. */
    private static final int MAX_CROWD_REQUESTS = 20_000;

    /** With this the head has less than max_header_bytes (16,384). */
    private static final int LONG_NAME_BYTES = 15_000;

    private static final int SHORT_NAME_BYTES = 8;

    /** max_body_bytes. */
    private static final int LONG_BODY_BYTES = 4_194_304;

    private static final int SHORT_BODY_BYTES = 600;
    private static final int ORDINARY_CALLERS = 8;
    private static final int ORDINARY_PAUSE_MILLIS = 150;
    private static final int ORDINARY_PATIENCE_MILLIS = 4000;
    private static final int TIMEOUT_MILLIS = 2000;
    private static final int SLACK_MILLIS = 500;
    private static final int CALM_MILLIS = 5000;
    private static final int AFTERWARDS_MILLIS = 10_000;

    private static final AtomicInteger NUMBERS = new AtomicInteger();

    private static volatile boolean crowdLeaves;

    /** How an ordinary request ended. */
    private record Ending(long sentMillis, int status, long tookMillis) {}

    private CrowdFillsMemory() {}

    public static void main(String[] args) throws Exception {
        Record record = new Record(Path.of(args[0]));
        Store store = new Store();
        List<Upstream> servers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            Upstream[] self = new Upstream[1];
            self[0] =
                    new Upstream(store, record, "i-llm" + i, "llm", "z" + i % 3, 64, (head, body, out, c) ->
                            self[0].reply(
                                    out,
                                    head.field("X-Wigeonferry-Request-Id"),
                                    200,
                                    Wire.ascii("id: 1\ndata: x\n\n"),
                                    "Content-Type: text/event-stream\r\n"));
            self[0].quiet = true;
            servers.add(self[0]);
        }
        for (int i = 0; i < 2; i++) {
            Upstream[] self = new Upstream[1];
            self[0] =
                    new Upstream(store, record, "i-desk" + i, "desk", "z" + i, 6, (head, body, out, c) -> {
                        Lab.sleep(60);
                        self[0].reply(
                                out, head.field("X-Wigeonferry-Request-Id"), 200, new byte[800], "");
                    });
        }
        String sizes =
                ",\"resumable\":true,\"sticky\":true,\"gap_aim_ms\":2000,\"sizes\":[\"m0\",\"m1\"]";
        store.put(
                "op",
                "config",
                Lab.config(
                        1,
                        Lab.route("/llm/", "streaming", 20000, "llm", 3, sizes)
                                        .replace("latency_ms\":2000", "latency_ms\":4000")
                                + ","
                                + Lab.route("/desk/", "unsafe", TIMEOUT_MILLIS, "desk", 1, ""),
                        Lab.service("llm") + "," + Lab.service("desk"),
                        ""));
        RouterProcess router =
                new RouterProcess(Lab.temporaryFolder(), "front-0", "z0", store.newPort(), Lab.BOUNDS);
        router.start();
        router.awaitReady();
        record.line("router is ready, resident " + router.memoryKilobytes("VmRSS") / 1024 + " MB");
        List<Ending> ordinary = Collections.synchronizedList(new ArrayList<>());
        for (int i = 0; i < ORDINARY_CALLERS; i++) {
            Lab.daemon("ordinary", () -> callForEver(router, record, ordinary));
            Lab.sleep(ORDINARY_PAUSE_MILLIS / ORDINARY_CALLERS);
        }
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger others = new AtomicInteger();
        boolean withBodies = args[1].equals("bodies");
        int nameBytes = Lab.trouble() && !withBodies ? LONG_NAME_BYTES : SHORT_NAME_BYTES;
        byte[] body = new byte[Lab.trouble() && withBodies ? LONG_BODY_BYTES : SHORT_BODY_BYTES];
        Arrays.fill(body, (byte) 'x');
        for (int i = 0; i < (withBodies ? CALLERS_WITH_BODIES : CALLERS_WITH_NAMES); i++) {
            Lab.daemon("crowd", () -> crowd(router, nameBytes, body, answered, others));
        }
        long end = Lab.millis() + CROWD_MILLIS;
        while (Lab.millis() < end) {
            Lab.sleep(2000);
            int runs = servers.stream().mapToInt(server -> server.runs.get()).sum();
            record.line(
                    String.format(
                            "crowd: sent %d, answered with 200 %d, otherwise %d, run by servers %d;"
                                    + " router: resident at most %d MB, ready %s",
                            NUMBERS.get(),
                            answered.get(),
                            others.get(),
                            runs,
                            router.memoryKilobytes("VmHWM") / 1024,
                            router.isReady()));
        }
        crowdLeaves = true;
        record.line("the crowd leaves");
        Lab.sleep(CALM_MILLIS);
        long calmMillis = Lab.millis();
        Lab.sleep(AFTERWARDS_MILLIS);
        judge(record, router, List.copyOf(ordinary), calmMillis, answered.get());
    }

    private static void judge(
            Record record, RouterProcess router, List<Ending> all, long calmMillis, int crowdAnswered) {
        if (crowdAnswered < 50 || all.size() < 100) {
            Lab.cannotRun("crowd " + crowdAnswered + ", ordinary " + all.size());
        }
        long beyond = all.stream().filter(e -> e.tookMillis() > TIMEOUT_MILLIS).count();
        long late = all.stream().filter(e -> e.tookMillis() > TIMEOUT_MILLIS + SLACK_MILLIS).count();
        List<Ending> afterwards = all.stream().filter(e -> e.sentMillis() > calmMillis).toList();
        String what =
                String.format(
                        "%d ordinary requests: %d lasted longer than timeout_ms, %d of them had no answer"
                                + " half a second later; 5 s after the crowd left: %d ended, %d with 200,"
                                + " router ready: %s, process lives: %s, OutOfMemoryError logged: %d",
                        all.size(),
                        beyond,
                        late,
                        afterwards.size(),
                        afterwards.stream().filter(e -> e.status() == 200).count(),
                        router.isReady(),
                        router.isAlive(),
                        router.logLines("OutOfMemoryError"));
        Lab.end(record, late >= 8 && 4 * late > beyond, what);
    }

    private static void crowd(
            RouterProcess router,
            int nameBytes,
            byte[] body,
            AtomicInteger answered,
            AtomicInteger others) {
        while (!crowdLeaves && NUMBERS.get() < MAX_CROWD_REQUESTS) {
            int status = crowdRequest(router, nameBytes, body);
            (status == 200 ? answered : others).incrementAndGet();
            if (status != 200) {
                Lab.sleep(100);
            }
        }
    }

    private static int crowdRequest(RouterProcess router, int nameBytes, byte[] body) {
        String number = Integer.toHexString(0x1000000 + NUMBERS.incrementAndGet());
        String name = number + "a".repeat(nameBytes - number.length() + 1);
        String fields =
                "X-Wigeonferry-Model: *\r\nX-Wigeonferry-Token-Counts: 100,80\r\n"
                        + "X-Wigeonferry-Prompt-Prefix: "
                        + name
                        + ":100\r\n";
        String head = Caller.head("POST", "/llm/x", Caller.newId(), 15000, body.length, fields);
        return request(router, head, body, 16000);
    }

    private static void callForEver(RouterProcess router, Record record, List<Ending> endings) {
        while (true) {
            String id = Caller.newId();
            long sent = Lab.millis();
            byte[] body = new byte[SHORT_BODY_BYTES];
            String head = Caller.head("POST", "/desk/book", id, 3000, body.length, "");
            int status = request(router, head, body, ORDINARY_PATIENCE_MILLIS);
            Ending ending = new Ending(sent, status, Lab.millis() - sent);
            endings.add(ending);
            record.line("ordinary " + id + " got " + status + " after " + ending.tookMillis() + " ms");
            Lab.sleep(ORDINARY_PAUSE_MILLIS);
        }
    }

    /** Sends a request on a new connection; the status, 0 if there is no whole answer. */
    private static int request(
            RouterProcess router, String head, byte[] body, int patienceMillis) {
        try (Caller caller = new Caller(router.callerPort, patienceMillis)) {
            caller.write(Wire.ascii(head));
            caller.write(body);
            Caller.Answer answer = caller.read();
            return answer.complete() ? answer.status() : 0;
        } catch (IOException e) {
            return 0;
        }
    }
}
