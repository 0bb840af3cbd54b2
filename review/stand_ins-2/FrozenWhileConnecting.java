import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A router freezes while its connections to servers wait, as the servers' queues of new connections are
 * full for a moment. Looks for unsafe requests that run twice, or are refused though they ran.
 */
final class FrozenWhileConnecting {
    private static final int CALLERS = 60;

    /** Small deployments side by side, each with a store, three servers and a router. */
    private static final int DEPLOYMENTS = 8;

    private static final int FREEZE_MILLIS = 1300;
    private static final int LENGTH_MILLIS = 92_000;
    private static final int TIMEOUT_MILLIS = 2000;

    private static final Map<String, AtomicInteger> RUNS = new ConcurrentHashMap<>();
    private static final Map<Integer, Integer> STATUSES = new ConcurrentHashMap<>();
    private static final Map<String, String> BROKEN = new ConcurrentHashMap<>();

    private FrozenWhileConnecting() {}

    public static void main(String[] args) throws Exception {
        Record record = new Record(Path.of(args[0]));
        Path folder = Lab.temporaryFolder();
        AtomicInteger rounds = new AtomicInteger();
        List<Thread> deployments = new ArrayList<>();
        for (int i = 0; i < DEPLOYMENTS; i++) {
            String name = "d" + i;
            deployments.add(Lab.daemon(name, () -> playDeployment(folder, name, record, rounds)));
        }
        for (Thread deployment : deployments) {
            deployment.join();
        }
        int runs = RUNS.values().stream().mapToInt(AtomicInteger::get).sum();
        String what =
                rounds.get() + " freezes, answers " + STATUSES + ", runs " + runs + "; broken: " + BROKEN.values();
        if (STATUSES.getOrDefault(200, 0) < 100) {
            Lab.cannotRun(what);
        }
        Lab.end(record, !BROKEN.isEmpty(), what);
    }

    private static void playDeployment(
            Path folder, String name, Record record, AtomicInteger rounds) {
        try {
            Store store = new Store();
            List<SlowToAccept> servers = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                servers.add(new SlowToAccept(store, record, "i-desk-" + name + i, "z" + i));
            }
            store.put(
                    "op",
                    "config",
                    Lab.config(
                            1,
                            Lab.route("/desk/", "unsafe", TIMEOUT_MILLIS, "desk", 1, ""),
                            Lab.service("desk"),
                            ""));
            RouterProcess router =
                    new RouterProcess(folder, "front-" + name, "z0", store.newPort(), Lab.BOUNDS);
            router.start();
            router.awaitReady();
            for (int i = 0; i < 100; i++) {
                send(router, record);
            }
            long end = Lab.millis() + LENGTH_MILLIS;
            while (Lab.millis() < end && BROKEN.isEmpty()) {
                rounds.incrementAndGet();
                playRound(router, record, servers);
            }
        } catch (IOException | InterruptedException e) {
            Lab.cannotRun(name + ": " + e);
        }
    }

    private static void playRound(RouterProcess router, Record record, List<SlowToAccept> servers)
            throws InterruptedException {
        if (Lab.trouble()) {
            servers.forEach(SlowToAccept::fillQueue);
        }
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            callers.add(Lab.daemon("caller", () -> send(router, record)));
        }
        Lab.sleep(80);
        if (Lab.trouble()) {
            router.signal("STOP");
            record.line(router.name + " frozen");
            servers.forEach(SlowToAccept::acceptAgain);
            Lab.sleep(FREEZE_MILLIS);
            router.signal("CONT");
            record.line(router.name + " goes on");
        }
        for (Thread caller : callers) {
            caller.join(6000);
        }
    }

    private static void send(RouterProcess router, Record record) {
        String id = Caller.newId();
        int status = request(router, id);
        record.line("client: " + id + " got " + status);
        STATUSES.merge(status, 1, Integer::sum);
        if (status == 503) {
            Lab.sleep(300);
            if (RUNS.containsKey(id)) {
                BROKEN.put(id, "REFUSED " + id + " got 503 and ran");
            }
        }
    }

    /** Sends an unsafe request on a new connection; its status, 0 if there is no answer. */
    private static int request(RouterProcess router, String id) {
        try (Caller caller = new Caller(router.callerPort, 5000)) {
            caller.write(
                    Wire.ascii(Caller.head("POST", "/desk/book", id, TIMEOUT_MILLIS, 5, "") + "hello"));
            return caller.read().status();
        } catch (IOException e) {
            return 0;
        }
    }

    /** A server whose queue of new connections can be full. */
    private static final class SlowToAccept {
        private static final int QUEUE = 8;

        private final ServerSocket socket;
        private final Record record;
        private final String id;
        private final List<Socket> queued = new ArrayList<>();
        private volatile boolean accepts = true;

        SlowToAccept(Store store, Record record, String id, String zone) throws IOException {
            this.record = record;
            this.id = id;
            socket = new ServerSocket(0, QUEUE, InetAddress.getByName("127.0.0.1"));
            Lab.daemon(id, this::accept);
            Lab.daemon(id + "-register", () -> register(store, zone));
        }

        /** Accepts nothing until {@link #acceptAgain}, and lets other connections fill the queue. */
        void fillQueue() {
            accepts = false;
            Lab.sleep(20);
            for (int i = 0; i < QUEUE + 3; i++) {
                Socket other = new Socket();
                try {
                    other.connect(new InetSocketAddress("127.0.0.1", socket.getLocalPort()), 30);
                    queued.add(other);
                } catch (IOException e) {
                    close(other);
                    return;
                }
            }
        }

        void acceptAgain() {
            accepts = true;
            queued.forEach(SlowToAccept::close);
            queued.clear();
        }

        private void register(Store store, String zone) {
            for (int seq = 1; ; seq++) {
                store.put(
                        "servers",
                        id,
                        String.format(
                                "{\"service\":\"desk\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
                                        + "\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
                                        + "\"cold_left_ms\":0,\"seq\":%d,\"born\":1}",
                                socket.getLocalPort(), zone, seq));
                Lab.sleep(1200);
            }
        }

        private void accept() {
            while (true) {
                if (!accepts) {
                    Lab.sleep(5);
                    continue;
                }
                try {
                    Socket connection = socket.accept();
                    Lab.daemon(id + "-request", () -> serve(connection));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
                Wire.Head head = Wire.readHead(in);
                if (head == null) {
                    return;
                }
                Wire.readBody(in, head);
                String request = head.field("X-Wigeonferry-Request-Id");
                int run = RUNS.computeIfAbsent(request, r -> new AtomicInteger()).incrementAndGet();
                record.line("server " + id + " runs " + request + ", run " + run);
                if (run > 1) {
                    BROKEN.put(request, "TWICE " + request + " ran " + run + " times");
                }
                Lab.sleep(60);
                String answer =
                        "HTTP/1.1 200 X\r\nX-Wigeonferry-Request-Id: "
                                + request
                                + "\r\nX-Wigeonferry-Server-Stamp: "
                                + id
                                + "\r\nContent-Length: 2\r\n\r\nok";
                connection.getOutputStream().write(Wire.ascii(answer));
                connection.getOutputStream().flush();
            } catch (IOException e) {
                record.line("server " + id + ": " + e.getMessage());
            }
        }

        private static void close(Socket other) {
            try {
                other.close();
            } catch (IOException e) {
                // It is closed.
            }
        }
    }
}
