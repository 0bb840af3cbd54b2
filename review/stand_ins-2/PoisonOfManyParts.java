import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A request that crashes the servers that run it comes again and again. Its prompt has many parts,
 * within the limit of a head. Counts how often it runs, and which requests of other callers get no
 * answer in time meanwhile.
 */
final class PoisonOfManyParts {
    private static final int TIMEOUT_MILLIS = 800;
    private static final int SLACK_MILLIS = 500;
    private static final int CONTACT_MILLIS = 3000;
    private static final long DOWN_MILLIS = 2000;
    private static final int CALLERS = 8;

    private PoisonOfManyParts() {}

    public static void main(String[] args) throws Exception {
        Record record = new Record(Path.of(args[0]));
        int parts = Integer.parseInt(args[1]);
        int seconds = Integer.parseInt(args[2]);
        Store store = new Store();
        Map<String, Long> downUntil = new ConcurrentHashMap<>();
        List<Long> poisonRuns = Collections.synchronizedList(new ArrayList<>());
        for (int i = 0; i < 4; i++) {
            String id = "i-llm" + i;
            Upstream[] self = new Upstream[1];
            self[0] =
                    new Upstream(store, record, id, "llm", "z" + i % 3, 64, (head, body, out, connection) -> {
                        boolean poison = head.part(1).endsWith("poison");
                        if (poison) {
                            poisonRuns.add(Lab.millis());
                        }
                        if (Lab.trouble() && (poison || Lab.millis() < downUntil.getOrDefault(id, 0L))) {
                            crash(record, downUntil, id, connection, poison);
                            return;
                        }
                        self[0].reply(
                                out,
                                head.field("X-Wigeonferry-Request-Id"),
                                200,
                                Wire.ascii("id: 1\ndata: x\n\n"),
                                "Content-Type: text/event-stream\r\n");
                    });
            Upstream[] desk = new Upstream[1];
            desk[0] =
                    new Upstream(store, record, "i-desk" + i, "desk", "z" + i % 3, 6, (head, body, out, c) -> {
                        Lab.sleep(60);
                        desk[0].reply(
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
                        Lab.route("/llm/", "streaming", 15000, "llm", 3, sizes)
                                + ","
                                + Lab.route("/desk/", "unsafe", TIMEOUT_MILLIS, "desk", 1, ""),
                        Lab.service("llm") + "," + Lab.service("desk"),
                        ""));
        RouterProcess router =
                new RouterProcess(Lab.temporaryFolder(), "front-0", "z0", store.newPort(), Lab.BOUNDS);
        router.start();
        router.awaitReady();
        record.line("router is ready");
        List<Long> times = Collections.synchronizedList(new ArrayList<>());
        for (int i = 0; i < CALLERS; i++) {
            Lab.daemon("caller", () -> call(router, record, times));
        }
        Lab.sleep(3000);
        sendPoison(router, record, parts, seconds);
        judge(record, args[3], times, poisonRuns);
    }

    /** Such a request comes again, with the same path, caller and body. */
    private static void sendPoison(RouterProcess router, Record record, int parts, int seconds) {
        String prefix = prefix(parts);
        long end = Lab.millis() + seconds * 1000L;
        while (Lab.millis() < end) {
            String id = Caller.newId();
            String fields =
                    "X-Wigeonferry-Model: *\r\nX-Wigeonferry-Token-Counts: 3000,80\r\n"
                            + "X-Wigeonferry-Prompt-Prefix: "
                            + prefix
                            + "\r\n";
            String head = Caller.head("POST", "/llm/poison", id, 15000, 5, fields);
            long sent = Lab.millis();
            record.line("client: poison request " + id + ", a head of " + head.length() + " bytes");
            try (Caller caller = new Caller(router.callerPort, 15500)) {
                caller.write(Wire.ascii(head + "hello"));
                int status = caller.read().status();
                record.line(
                        "client: poison request " + id + " got " + status + " after "
                                + (Lab.millis() - sent) + " ms");
            } catch (IOException e) {
                record.line("client: poison request " + id + ": " + e.getMessage());
            }
            Lab.sleep(2000);
        }
    }

    private static void judge(Record record, String rule, List<Long> times, List<Long> poisonRuns) {
        List<Long> all = List.copyOf(times);
        if (all.size() < 50) {
            Lab.cannotRun("only " + all.size() + " other requests ended");
        }
        List<Long> beyond = all.stream().filter(time -> time > TIMEOUT_MILLIS).toList();
        long late = all.stream().filter(time -> time > TIMEOUT_MILLIS + SLACK_MILLIS).count();
        List<Long> runs = List.copyOf(poisonRuns);
        long retries =
                runs.size() < 3 || !Lab.trouble()
                        ? 0
                        : runs.stream().filter(at -> at > runs.get(2) + CONTACT_MILLIS).count();
        String what =
                "of "
                        + all.size()
                        + " other requests, "
                        + beyond.size()
                        + " lasted longer than timeout_ms, and "
                        + late
                        + " of these had no answer half a second later (longest "
                        + all.stream().mapToLong(time -> time).max().orElse(0)
                        + " ms); the poison request ran "
                        + runs.size()
                        + " times, "
                        + retries
                        + " of them later than contact_ms after the third crash";
        boolean broken =
                rule.equals("CONFIG") ? late >= 8 && 4 * late > beyond.size() : retries > 3;
        Lab.end(record, broken, rule + ": " + what);
    }

    private static void crash(
            Record record, Map<String, Long> downUntil, String id, Socket connection, boolean poison)
            throws IOException {
        if (poison) {
            downUntil.put(id, Lab.millis() + DOWN_MILLIS);
            record.line("server " + id + " crashes");
        }
        connection.setSoLinger(true, 0);
        connection.close();
        throw new IOException("crashed");
    }

    private static String prefix(int parts) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < parts; i++) {
            text.append(i == 0 ? "" : ",").append(Integer.toHexString(0x100 + i)).append(":1");
        }
        return text.toString();
    }

    private static void call(RouterProcess router, Record record, List<Long> times) {
        while (true) {
            String id = Caller.newId();
            long sent = Lab.millis();
            int status = 0;
            try (Caller caller = new Caller(router.callerPort, 4000)) {
                caller.write(
                        Wire.ascii(Caller.head("POST", "/desk/book", id, 1500, 5, "") + "hello"));
                status = caller.read().status();
            } catch (IOException e) {
                record.line("client: " + id + ": " + e.getMessage());
            }
            long took = Lab.millis() - sent;
            record.line("client: " + id + " got " + status + " after " + took + " ms");
            times.add(took);
            Lab.sleep(100);
        }
    }
}
