package org.wigeonferry.command_line.ingress;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import org.wigeonferry.command_line.DemoPorts;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.platform_clients.JsonHttpClient;
import org.wigeonferry.stand_ins.ScriptedUpstream;
import org.wigeonferry.stand_ins.StoreStandIn;

/**
 * A router process with a store and one upstream, all on loopback addresses.
 *
 * <p>The upstream answers paths below {@code /safe/big} with 4 MiB and others with a short body.
 * Used by one thread.
 */
final class IngressRouter implements AutoCloseable {
    static final int MAX_BODY_BYTES = 4 << 20;

    private final StoreStandIn store = new StoreStandIn();
    private final ScriptedUpstream upstream;
    private final HostAddress callers;
    private final HostAddress ready;
    private final HostAddress metrics;
    private final ProcessUnderTest process;
    private final AtomicInteger requestNumber = new AtomicInteger();

    IngressRouter(String name) throws Exception {
        byte[] large = new byte[MAX_BODY_BYTES];
        upstream =
                new ScriptedUpstream(
                        (head, socket) -> {
                            boolean big = head.split(" ")[1].startsWith("/safe/big");
                            byte[] body = big ? large : "done".getBytes(StandardCharsets.UTF_8);
                            socket.getOutputStream().write(responseHead(head, body.length));
                            socket.getOutputStream().write(body);
                            socket.getOutputStream().flush();
                        });
        configure();
        DemoPorts ports = new DemoPorts();
        callers = ports.next();
        ready = ports.next();
        metrics = ports.next();
        Path directory = Files.createTempDirectory("ingress-");
        Path settings = directory.resolve("router.ini");
        Files.writeString(
                settings,
                "[node]\nname = router\navailability-zone = z\n[listen]\ncallers = "
                        + callers
                        + "\nready = "
                        + ready
                        + "\nmetrics = "
                        + metrics
                        + "\npeers = "
                        + ports.next()
                        + "\n[store]\naddress = "
                        + store.address()
                        + "\n");
        process = new ProcessUnderTest(directory.resolve(name + ".log"), "router", settings);
        OrdinaryCaller.awaitStatus(ready, "GET / HTTP/1.1\r\nHost: ready\r\n\r\n", 200, process);
        awaitOrdinaryRequest();
    }

    HostAddress callers() {
        return callers;
    }

    HostAddress ready() {
        return ready;
    }

    HostAddress metrics() {
        return metrics;
    }

    /** Head of a request to a path, without the empty line at its end. */
    String openHead(String method, String path) {
        return method
                + " "
                + path
                + " HTTP/1.1\r\nHost: caller.example\r\nAuthorization: Bearer key\r\n"
                + "X-Wigeonferry-Request-Id: r-"
                + requestNumber.incrementAndGet()
                + "\r\n";
    }

    /** Checks the router after a group of callers, whose connections are still open. */
    void assertServes() throws Exception {
        awaitOrdinaryRequest();
        OrdinaryCaller.awaitStatus(ready, "GET / HTTP/1.1\r\nHost: ready\r\n\r\n", 200, process);
        OrdinaryCaller.awaitStatus(
                metrics, "GET /metrics HTTP/1.1\r\nHost: metrics\r\n\r\n", 200, process);
        process.assertSound();
    }

    /** Checks that a request gets this status in calm. */
    void assertStatus(String request, int status) {
        assertThat(OrdinaryCaller.status(callers, request)).hasValue(status);
    }

    private void awaitOrdinaryRequest() {
        String request = openHead("GET", "/safe/x") + "\r\n";
        OrdinaryCaller.awaitStatus(callers, request, 200, process);
    }

    private void configure() {
        ObjectNode config = JsonHttpClient.newObject().put("version", 1);
        ObjectNode route = config.putArray("routes").addObject();
        route.put("name", "safe").put("host", "caller.example").put("prefix", "/safe");
        route.put("service", "desk").put("route_type", "safe").put("resumable", false);
        route.put("timeout_ms", 5000).put("target_latency_ms", 400).put("max_attempts", 3);
        config.putArray("services").addObject().put("name", "desk");
        config.putArray("tenants").addObject().put("name", "one").putArray("api_keys").add("key");
        store.put("op", "config", config.toString());
        ObjectNode entry = JsonHttpClient.newObject().put("service", "desk");
        entry.put("address", new HostAddress("127.0.0.1", upstream.port()).toString());
        entry.put("zone", "z").put("version", "v1").put("slots", 64);
        entry.put("state", "ready").put("born", 1);
        store.put("servers", "u-1", entry.toString());
    }

    private static byte[] responseHead(String requestHead, int length) {
        String id =
                requestHead
                        .lines()
                        .filter(
                                l ->
                                        l.toLowerCase(Locale.ROOT)
                                                .startsWith("x-wigeonferry-request-id:"))
                        .map(line -> line.substring(line.indexOf(':') + 1).strip())
                        .findFirst()
                        .orElse("");
        return ("HTTP/1.1 200 OK\r\nX-Wigeonferry-Request-Id: "
                        + id
                        + "\r\nX-Wigeonferry-Server-Stamp: u-1\r\nContent-Length: "
                        + length
                        + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws Exception {
        process.close();
        upstream.close();
        store.close();
    }
}
