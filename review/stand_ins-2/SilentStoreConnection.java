import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A connection of one router to the store goes silent, and a server leaves right after: its entry is
 * removed, and it serves on for some seconds. Counts the requests that reach it when none may.
 */
final class SilentStoreConnection {
    private static final int DRAIN_MILLIS = 2000;
    private static final int CONTACT_MILLIS = 3000;

    /** The server serves on "for drain_ms ... and a little longer (at times many seconds)". */
    private static final int SERVES_ON_MILLIS = 8000;

    private SilentStoreConnection() {}

    public static void main(String[] args) throws Exception {
        Record record = new Record(Path.of(args[0]));
        Store store = new Store();
        Map<String, Long> sentMillis = new ConcurrentHashMap<>();
        Map<String, Long> reachedLeaving = new ConcurrentHashMap<>();
        List<Upstream> servers = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Upstream[] self = new Upstream[1];
            boolean leaves = i == 0;
            self[0] =
                    new Upstream(store, record, "i-desk" + i, "desk", "z" + i, 6, (head, body, out, c) -> {
                        String id = head.field("X-Wigeonferry-Request-Id");
                        if (leaves) {
                            reachedLeaving.put(id, Lab.millis());
                        }
                        Lab.sleep(60);
                        self[0].reply(out, id, 200, new byte[800], "");
                    });
            servers.add(self[0]);
            Lab.sleep(400);
        }
        store.put(
                "op",
                "config",
                Lab.config(
                        1,
                        Lab.route("/desk/", "unsafe", 800, "desk", 1, ""),
                        Lab.service("desk"),
                        ""));
        Path folder = Lab.temporaryFolder();
        List<RouterProcess> routers = new ArrayList<>();
        int[] storePorts = new int[3];
        for (int i = 0; i < 3; i++) {
            storePorts[i] = store.newPort();
            RouterProcess router =
                    new RouterProcess(folder, "front-" + i, "z" + i, storePorts[i], Lab.BOUNDS);
            router.start();
            routers.add(router);
        }
        routers.forEach(RouterProcess::awaitReady);
        record.line("all routers are ready");
        Map<String, RouterProcess> routerOf = new ConcurrentHashMap<>();
        AtomicInteger answered = new AtomicInteger();
        for (RouterProcess router : routers) {
            for (int i = 0; i < 2; i++) {
                Lab.daemon("caller", () -> call(router, record, sentMillis, routerOf, answered));
            }
        }
        Lab.sleep(8000);
        if (Lab.trouble()) {
            // One of three machines (0.33), one of its four connections to the store (0.25).
            while (!store.silenceOpenCall(storePorts[0], "table=servers")) {
                Lab.sleep(1);
            }
        }
        long silentMillis = Lab.millis();
        record.line("a connection of front-0 to the store is silent from now on: " + Lab.trouble());
        Lab.sleep(100);
        servers.get(0).unregister();
        long removedMillis = Lab.millis();
        record.line("the entry of i-desk0 is removed; it serves on");
        Lab.sleep(SERVES_ON_MILLIS);
        int late = 0;
        int lateInTouch = 0;
        for (Map.Entry<String, Long> reached : reachedLeaving.entrySet()) {
            if (reached.getValue() > removedMillis + DRAIN_MILLIS) {
                late++;
                long sent = sentMillis.get(reached.getKey());
                boolean inTouch = sent > silentMillis + CONTACT_MILLIS;
                lateInTouch += inTouch ? 1 : 0;
                record.line(
                        String.format(
                                "%s from %s reached i-desk0 %d ms after its entry was removed, sent %d ms"
                                        + " after the connection went silent%s",
                                reached.getKey(),
                                routerOf.get(reached.getKey()).name,
                                reached.getValue() - removedMillis,
                                sent - silentMillis,
                                inTouch ? ": DRAIN" : ""));
            }
        }
        String what =
                answered.get()
                        + " requests answered with 200; later than drain_ms, "
                        + late
                        + " reached the server, "
                        + lateInTouch
                        + " of them from a machine in touch";
        if (answered.get() < 100) {
            Lab.cannotRun(what);
        }
        Lab.end(record, lateInTouch > 0, what);
    }

    private static void call(
            RouterProcess router,
            Record record,
            Map<String, Long> sentMillis,
            Map<String, RouterProcess> routerOf,
            AtomicInteger answered) {
        while (true) {
            String id = Caller.newId();
            try (Caller caller = new Caller(router.callerPort, 3000)) {
                routerOf.put(id, router);
                sentMillis.put(id, Lab.millis());
                caller.write(
                        Wire.ascii(Caller.head("POST", "/desk/book", id, 1500, 5, "") + "hello"));
                Caller.Answer answer = caller.read();
                record.line("client: " + id + " to " + router.name + " got " + answer.status());
                if (answer.status() == 200) {
                    answered.incrementAndGet();
                }
            } catch (IOException e) {
                record.line("client: " + id + " to " + router.name + ": " + e.getMessage());
            }
            Lab.sleep(40);
        }
    }
}
