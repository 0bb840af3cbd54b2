package org.wigeonferry.router;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.node_runtime.ControlThread;
import org.wigeonferry.node_runtime.NodeMetrics;
import org.wigeonferry.node_runtime.ingress.IngressKeys;
import org.wigeonferry.node_runtime.ingress.IngressLimits;
import org.wigeonferry.routing.Incarnation;
import org.wigeonferry.routing.RequestKind;
import org.wigeonferry.routing.Route;
import org.wigeonferry.routing.RoutingConfig;
import org.wigeonferry.routing.RoutingState;
import org.wigeonferry.routing.ServiceTraits;
import org.wigeonferry.routing.UpstreamInstance;
import org.wigeonferry.routing.WeightedService;
import org.wigeonferry.stand_ins.ScriptedUpstream;

/** A router over real sockets, with scripted upstreams. */
final class RouterHarness implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int MAX_CONNECTIONS = 10;

    private final ControlThread control = new ControlThread("control");
    private final NodeMetrics metrics = new NodeMetrics();
    private final RouterControl router;
    private final JettySender sender;
    private final RouterServer server;
    private final int port;

    RouterHarness(List<ScriptedUpstream> upstreams) throws Exception {
        this(upstreams, state -> {});
    }

    /**
     * Starts a router.
     *
     * @param setUp changes the routing state before the router starts
     */
    RouterHarness(List<ScriptedUpstream> upstreams, Consumer<RoutingState> setUp) throws Exception {
        this(0, ports(upstreams), RoutingStates.empty(), setUp, IngressKeys.defaultLimits());
    }

    RouterHarness(List<ScriptedUpstream> upstreams, RoutingState state) throws Exception {
        this(0, ports(upstreams), state, unchanged -> {}, IngressKeys.defaultLimits());
    }

    RouterHarness(List<ScriptedUpstream> upstreams, IngressLimits limits) throws Exception {
        this(0, ports(upstreams), RoutingStates.empty(), unchanged -> {}, limits);
    }

    private RouterHarness(
            int idleConnections,
            List<Integer> upstreamPorts,
            RoutingState state,
            Consumer<RoutingState> setUp,
            IngressLimits limits)
            throws Exception {
        sender = new JettySender(Duration.ofMillis(500), idleConnections, metrics);
        setUp.accept(state);
        router =
                new RouterControl(
                        "router",
                        control,
                        state,
                        Optional.empty(),
                        new StoreReporters(
                                report -> {},
                                (order, next, known) -> {},
                                (order, known, now) -> {}));
        List<Integer> ports = freePorts(3);
        port = ports.get(0);
        server =
                new RouterServer(
                        new RouterAddresses(
                                new HostAddress(LOOPBACK, port),
                                new HostAddress(LOOPBACK, ports.get(1)),
                                new HostAddress(LOOPBACK, ports.get(2))),
                        control,
                        router,
                        sender,
                        TestProtocol.protocol(),
                        limits,
                        metrics);
        control.submit(
                        () -> {
                            router.onConfigurationConfirmed(
                                    System.nanoTime(), System.currentTimeMillis());
                            router.onConfiguration(config(1, MAX_CONNECTIONS));
                            for (int i = 0; i < upstreamPorts.size(); i++) {
                                router.onUpstream(upstream(i, upstreamPorts.get(i), 1));
                            }
                            if (idleConnections > 0) {
                                state.limitConnections();
                                updateConnections();
                            }
                            return true;
                        })
                .get();
        if (idleConnections > 0) {
            control.scheduleWithFixedDelay(Duration.ofMillis(20), this::updateConnections);
        }
    }

    /** A router that keeps connections to upstreams at these ports. */
    static RouterHarness keepingConnections(int idleConnections, Integer... upstreamPorts)
            throws Exception {
        return new RouterHarness(
                idleConnections,
                List.of(upstreamPorts),
                RoutingStates.empty(),
                unchanged -> {},
                IngressKeys.defaultLimits());
    }

    private static List<Integer> ports(List<ScriptedUpstream> upstreams) {
        return upstreams.stream().map(ScriptedUpstream::port).toList();
    }

    private void updateConnections() {
        sender.updateConnections(router.state().connectionShares());
    }

    /** Registers an incarnation of an upstream. */
    void register(int number, int upstreamPort, long startMillis) throws Exception {
        control.submit(
                        () -> {
                            router.onUpstream(upstream(number, upstreamPort, startMillis));
                            updateConnections();
                            return true;
                        })
                .get();
    }

    /** Sets the number of connections that each upstream accepts. */
    void setMaxConnections(int maxConnections) throws Exception {
        control.submit(
                        () -> {
                            router.onConfiguration(config(2, maxConnections));
                            updateConnections();
                            return true;
                        })
                .get();
    }

    /** Value of a counter; 0 if nothing was counted. */
    long counter(String name) {
        return metrics.registry().counter(name).getCount();
    }

    RouterServer server() {
        return server;
    }

    /** Changes what the router has read from the store. */
    void change(Consumer<RouterControl> change) {
        control.execute(() -> change.accept(router));
    }

    /** Waits until as many requests wait for room; fails after 8 s. */
    void awaitWaiting(long count) {
        long end = System.nanoTime() + Duration.ofSeconds(8).toNanos();
        while (gauge("waiting_requests") != count) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("waiting: " + gauge("waiting_requests"));
            }
            LockSupport.parkNanos(Duration.ofMillis(5).toNanos());
        }
    }

    /** Value of the gauge of memory that incomplete responses hold. */
    long reservedResponseBytes() {
        return (Long) metrics.registry().getGauges().get("response_bytes_reserved").getValue();
    }

    /** Value of a counter of the service; 0 if nothing was counted. */
    long count(String name) {
        return metrics.registry().counter(name + "|service|service").getCount();
    }

    /** Value of a gauge. */
    long gauge(String name) {
        return ((Number) metrics.registry().getGauges().get(name).getValue()).longValue();
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(8000);
        return socket;
    }

    static void sendRequest(Socket socket, String method, String path, String body)
            throws IOException {
        sendRequest(socket, method, path, "id-1", body);
    }

    private static void sendRequest(
            Socket socket, String method, String path, String id, String body) throws IOException {
        String head =
                method
                        + " "
                        + path
                        + " HTTP/1.1\r\nHost: example\r\nId: "
                        + id
                        + "\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n";
        OutputStream out = socket.getOutputStream();
        out.write((head + body).getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /**
     * Sends one request on a new connection and returns the response; fails after 8 s of silence.
     */
    String exchange(String method, String path, String body) throws IOException {
        return exchangeWithId(method, path, "id-1", body);
    }

    /** As {@link #exchange}, with this id of the request. */
    String exchangeWithId(String method, String path, String id, String body) throws IOException {
        try (Socket socket = connect()) {
            sendRequest(socket, method, path, id, body);
            return readResponse(socket);
        }
    }

    /**
     * Reads one response: up to its declared length or last chunk, or to the end of the connection.
     */
    static String readResponse(Socket socket) throws IOException {
        StringBuilder text = new StringBuilder();
        int next = socket.getInputStream().read();
        while (next >= 0) {
            text.append((char) next);
            if (isComplete(text.toString())) {
                return text.toString();
            }
            next = socket.getInputStream().read();
        }
        return text.append("<closed>").toString();
    }

    private static boolean isComplete(String text) {
        int head = text.indexOf("\r\n\r\n");
        if (head < 0) {
            return false;
        }
        if (text.contains("Transfer-Encoding: chunked")) {
            return text.endsWith("\r\n0\r\n\r\n");
        }
        int length = text.indexOf("Content-Length: ");
        int end = text.indexOf("\r\n", length);
        int count = Integer.parseInt(text.substring(length + "Content-Length: ".length(), end));
        return text.length() == head + 4 + count;
    }

    private static RoutingConfig config(long revision, int maxConnections) {
        return RoutingConfig.builder(revision)
                .addService(
                        new ServiceTraits(
                                "service", maxConnections, Duration.ZERO, 0, Optional.empty()))
                .addRoute(route("safe", RequestKind.SAFE))
                .addRoute(route("unsafe", RequestKind.UNSAFE))
                .addRoute(route("stream", RequestKind.RESUMABLE_STREAM))
                .addRoute(route("stream-once", RequestKind.STREAM))
                .addRoute(route("other", "//", RequestKind.SAFE))
                .addRoute(patientRoute("patient-safe", RequestKind.SAFE, List.of()))
                .addRoute(patientRoute("patient-stream", RequestKind.RESUMABLE_STREAM, List.of()))
                .addRoute(
                        patientRoute(
                                "models", RequestKind.RESUMABLE_STREAM, List.of("small", "large")))
                .build();
    }

    /** A route whose objective leaves time for hedged sends also on a busy machine. */
    private static Route patientRoute(String name, RequestKind kind, List<String> models) {
        return new Route(
                name,
                "example",
                "/" + name + "/",
                kind,
                Duration.ofSeconds(8),
                Duration.ofSeconds(4),
                Duration.ofMillis(400),
                3,
                0,
                true,
                models,
                List.of(new WeightedService("service", 1)));
    }

    private static Route route(String name, RequestKind kind) {
        return route(name, "/" + name + "/", kind);
    }

    private static Route route(String name, String prefix, RequestKind kind) {
        return new Route(
                name,
                "example",
                prefix,
                kind,
                Duration.ofSeconds(3),
                Duration.ofSeconds(1),
                Duration.ofMillis(400),
                3,
                0,
                true,
                List.of(),
                List.of(new WeightedService("service", 1)));
    }

    /** The first upstream is in the router's zone. */
    static UpstreamInstance upstream(int number, String id, int port) {
        return upstream(number, new Incarnation(id, 1), port);
    }

    private static UpstreamInstance upstream(int number, int port, long startMillis) {
        return upstream(number, new Incarnation("u" + number, startMillis), port);
    }

    private static UpstreamInstance upstream(int number, Incarnation incarnation, int port) {
        return new UpstreamInstance(
                incarnation,
                new HostAddress(LOOPBACK, port),
                "service",
                number == 0 ? "zone" : "other",
                "v1",
                8,
                false,
                Duration.ZERO);
    }

    /** Ports that differ, as all are taken before one is given back. */
    private static List<Integer> freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                sockets.add(new ServerSocket(0));
            }
            return sockets.stream().map(ServerSocket::getLocalPort).toList();
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
    }

    @Override
    public void close() throws Exception {
        server.stop();
        sender.close();
        control.close();
    }
}
