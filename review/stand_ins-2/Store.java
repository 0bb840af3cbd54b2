import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

/** The platform's store: rows in tables, reads, changes with a wait, and transactions. */
final class Store {
    private static final ObjectMapper JSON = new ObjectMapper();

    private record Row(long ver, String value, boolean removed) {}

    /** A connection of a machine, with the call that it has open. */
    private static final class Connection {
        final int port;
        volatile String openCall = "";
        volatile boolean silent;

        Connection(int port) {
            this.port = port;
        }
    }

    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private long version = 1;

    /** Calls, by request line, that get no answer; their connections stay open. */
    volatile Predicate<String> silent = call -> false;

    /** Calls, by request line, that the store turns away with 503. */
    volatile Predicate<String> busy = call -> false;

    /** Opens one more port of the store, by which a machine can be told from the others. */
    int newPort() throws IOException {
        ServerSocket socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Lab.daemon("store", () -> accept(socket));
        return socket.getLocalPort();
    }

    /**
     * Silences the open connection of a machine that has a call with this text open: nothing
     * follows on it, and it is not closed. False if there is none.
     */
    boolean silenceOpenCall(int port, String text) {
        for (Connection connection : connections) {
            if (connection.port == port && connection.openCall.contains(text)) {
                connection.silent = true;
                return true;
            }
        }
        return false;
    }

    /** Writes a row as the operator or a server does; returns its version. */
    synchronized long put(String table, String key, String text) {
        version++;
        String value = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
        rows(table).put(key, new Row(version, value, false));
        notifyAll();
        return version;
    }

    synchronized void remove(String table, String key) {
        if (rows(table).containsKey(key)) {
            version++;
            rows(table).put(key, new Row(version, "", true));
            notifyAll();
        }
    }

    /** The text of a row; empty if there is none. */
    synchronized String text(String table, String key) {
        Row row = rows(table).get(key);
        return row == null || row.removed()
                ? ""
                : new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8);
    }

    private TreeMap<String, Row> rows(String table) {
        return tables.computeIfAbsent(table, name -> new TreeMap<>());
    }

    private void accept(ServerSocket socket) {
        while (true) {
            try {
                Socket connection = socket.accept();
                Lab.daemon("store-call", () -> serve(connection, socket.getLocalPort()));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection, int port) {
        Connection state = new Connection(port);
        connections.add(state);
        try (connection) {
            connection.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            for (Wire.Head head = Wire.readHead(in); head != null; head = Wire.readHead(in)) {
                byte[] body = Wire.readBody(in, head);
                state.openCall = head.start();
                if (silent.test(head.start())) {
                    Thread.sleep(120_000);
                    return;
                }
                if (busy.test(head.start())) {
                    reply(out, state, 503, JSON.createObjectNode());
                } else if (head.start().startsWith("POST /api/rows-tx")) {
                    Thread.sleep(8);
                    transact(out, state, JSON.readTree(body));
                } else {
                    answerRead(out, state, head.part(1));
                }
            }
        } catch (IOException | InterruptedException e) {
            // The caller is gone.
        } finally {
            connections.remove(state);
        }
    }

    private void answerRead(OutputStream out, Connection state, String target)
            throws IOException, InterruptedException {
        Thread.sleep(4);
        Map<String, String> query = new HashMap<>();
        for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                query.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        if (target.startsWith("/api/rows-get")) {
            reply(out, state, 200, read(query));
        } else if (target.startsWith("/api/rows-feed")) {
            reply(out, state, 200, changes(query));
        } else {
            reply(out, state, 404, JSON.createObjectNode());
        }
    }

    private synchronized ObjectNode read(Map<String, String> query) {
        ObjectNode page = JSON.createObjectNode();
        ArrayNode found = page.putArray("rows");
        rows(query.get("table"))
                .tailMap(query.getOrDefault("from", ""))
                .forEach(
                        (key, row) -> {
                            if (!row.removed()) {
                                add(found, query.get("table"), key, row);
                            }
                        });
        return page.put("truncated", false).put("ver", version).put("now_ms", Lab.millis());
    }

    private synchronized ObjectNode changes(Map<String, String> query)
            throws InterruptedException {
        String table = query.get("table");
        long after = Long.parseLong(query.get("after_rev"));
        long end = Lab.millis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        while (rows(table).values().stream().noneMatch(row -> row.ver() > after)) {
            long left = end - Lab.millis();
            if (left <= 0) {
                break;
            }
            wait(left);
        }
        TreeMap<Long, String> keys = new TreeMap<>();
        rows(table).forEach((key, row) -> keys.put(row.ver(), key));
        ObjectNode page = JSON.createObjectNode();
        ArrayNode found = page.putArray("rows");
        keys.tailMap(after, false)
                .values()
                .forEach(key -> add(found, table, key, rows(table).get(key)));
        return page.put("ver", version).put("now_ms", Lab.millis());
    }

    private static void add(ArrayNode found, String table, String key, Row row) {
        ObjectNode json = found.addObject().put("table", table).put("part", "").put("key", key);
        json.put("value", row.value()).put("ver", row.ver());
        if (row.removed()) {
            json.put("removed", true);
        }
    }

    private void transact(OutputStream out, Connection state, JsonNode transaction) throws IOException {
        ObjectNode answer = JSON.createObjectNode();
        int status = 200;
        synchronized (this) {
            for (JsonNode expected : transaction.path("expect_rev")) {
                Row row = rows(expected.path("table").asText()).get(expected.path("key").asText());
                long ver = row == null || row.removed() ? 0 : row.ver();
                status = ver == expected.path("ver").asLong() ? status : 412;
            }
            if (status == 200) {
                version++;
                for (JsonNode put : transaction.path("puts")) {
                    rows(put.path("table").asText())
                            .put(
                                    put.path("key").asText(),
                                    new Row(version, put.path("value").asText(), false));
                }
                notifyAll();
            }
            answer.put("ver", version).put("now_ms", Lab.millis());
        }
        reply(out, state, status, answer);
    }

    private static void reply(OutputStream out, Connection state, int status, ObjectNode json)
            throws IOException {
        state.openCall = "";
        if (state.silent) {
            Lab.sleep(120_000);
            return;
        }
        byte[] body = JSON.writeValueAsBytes(json);
        String head =
                "HTTP/1.1 "
                        + status
                        + " X\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length
                        + "\r\n\r\n";
        out.write(Wire.ascii(head));
        out.write(body);
        out.flush();
    }
}
