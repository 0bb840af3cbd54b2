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
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.node_runtime.ControlThread;
import org.wigeonferry.node_runtime.NodeMetrics;
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

    private final ControlThread control = new ControlThread("control");
    private final NodeMetrics metrics = new NodeMetrics();
    private final JettySender sender;
    private final RouterServer server;
    private final int port;

    RouterHarness(List<ScriptedUpstream> upstreams) throws Exception {
        this(upstreams, RoutingStates.empty());
    }

    RouterHarness(List<ScriptedUpstream> upstreams, RoutingState state) throws Exception {
        sender = new JettySender(Duration.ofMillis(500));
        RouterControl router =
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
                        metrics);
        control.submit(
                        () -> {
                            router.onConfigurationConfirmed(
                                    System.nanoTime(), System.currentTimeMillis());
                            router.onConfiguration(config());
                            for (int i = 0; i < upstreams.size(); i++) {
                                router.onUpstream(upstream(i, upstreams.get(i).port()));
                            }
                            return true;
                        })
                .get();
    }

    RouterServer server() {
        return server;
    }

    /** Value of the gauge of memory that incomplete responses hold. */
    long reservedResponseBytes() {
        return (Long) metrics.registry().getGauges().get("response_bytes_reserved").getValue();
    }

    /** Value of a counter of the service; 0 if nothing was counted. */
    long count(String name) {
        return metrics.registry().counter(name + "|service|service").getCount();
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(8000);
        return socket;
    }

    static void sendRequest(Socket socket, String method, String path, String body)
            throws IOException {
        String head =
                method
                        + " "
                        + path
                        + " HTTP/1.1\r\nHost: example\r\nId: id-1\r\nContent-Length: "
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
        try (Socket socket = connect()) {
            sendRequest(socket, method, path, body);
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

    private static RoutingConfig config() {
        return RoutingConfig.builder(1)
                .addService(new ServiceTraits("service", 10, Duration.ZERO, 0, Optional.empty()))
                .addRoute(route("safe", RequestKind.SAFE))
                .addRoute(route("unsafe", RequestKind.UNSAFE))
                .addRoute(route("stream", RequestKind.RESUMABLE_STREAM))
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

    private static UpstreamInstance upstream(int number, int port) {
        return new UpstreamInstance(
                new Incarnation("u" + number, 1),
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
