package org.wigeonferry.stand_ins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.node_runtime.EndpointDispatcher;
import org.wigeonferry.node_runtime.HttpServers;
import org.wigeonferry.node_runtime.Replies;
import org.wigeonferry.node_runtime.RequestBodies;
import org.wigeonferry.platform_clients.JsonHttpClient;

/**
 * A store that speaks the platform's protocol, with the faults that it may have.
 *
 * <p>Thread safe: rows are touched under the lock of this object.
 */
public final class StoreStandIn implements AutoCloseable {
    private static final int PAGE = 3;
    private static final long LONGEST_WAIT_MILLIS = 30_000;

    private final Map<String, ObjectNode> rows = new LinkedHashMap<>();
    private final List<ObjectNode> history = new ArrayList<>();
    private final List<WaitingQuestion> waiting = new ArrayList<>();
    private final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1);
    private final HostAddress address;
    private final Server server;
    private long version = 10;
    private long oldest;
    private long era = 1;
    private int refusals;
    private int lostAnswers;
    private int calls;
    private boolean refusedBefore;
    private boolean closing;
    private final List<Long> waitsAfterRefusals = new ArrayList<>();

    /** Starts on a free port. */
    public StoreStandIn() throws IOException, StepException {
        try (ServerSocket socket = new ServerSocket(0)) {
            address = new HostAddress("127.0.0.1", socket.getLocalPort());
        }
        server =
                HttpServers.start(
                        "store",
                        address,
                        new EndpointDispatcher()
                                .add("GET", "/api/rows-get", this::read)
                                .add("GET", "/api/rows-feed", this::feed)
                                .add("POST", "/api/rows-tx", this::write),
                        StandInIngress.create());
    }

    /** Where it listens. */
    public HostAddress address() {
        return address;
    }

    /** Calls so far, refused ones included. */
    public synchronized int calls() {
        return calls;
    }

    /** How long questions that followed a refusal were willing to wait, in milliseconds. */
    public synchronized List<Long> waitsAfterRefusals() {
        return List.copyOf(waitsAfterRefusals);
    }

    /** Refuses the next calls. */
    public synchronized void refuse(int count) {
        refusals = count;
    }

    /** Does the next writes but breaks their connections instead of answering. */
    public synchronized void loseAnswers(int count) {
        lostAnswers = count;
    }

    /** Forgets all history. */
    public synchronized void forget() {
        oldest = version;
        history.clear();
    }

    /** All that the store holds now. */
    public synchronized StoreCopy copy() {
        return new StoreCopy(rows, history, version, oldest);
    }

    /** Goes back to a copy, as a new era; open questions get no answer. */
    public synchronized void restore(StoreCopy copy) {
        rows.clear();
        rows.putAll(copy.rows());
        history.clear();
        history.addAll(copy.history());
        version = copy.version();
        oldest = copy.oldest();
        era++;
        waiting.forEach(question -> question.callback().failed(new IOException("store away")));
        waiting.clear();
    }

    /** Writes a row. */
    public synchronized void put(String table, String key, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        putBase64(table, key, Base64.getEncoder().encodeToString(bytes));
    }

    /** Writes a row whose value need not be well formed. */
    public synchronized void putBase64(String table, String key, String value) {
        version++;
        ObjectNode row = JsonHttpClient.newObject();
        row.put("table", table).put("part", "").put("key", key);
        row.put("value", value).put("ver", version);
        rows.put(table + "/" + key, row);
        history.add(row);
        changed();
    }

    /** Drops a row. */
    public synchronized void remove(String table, String key) {
        version++;
        rows.remove(table + "/" + key);
        ObjectNode row = JsonHttpClient.newObject();
        row.put("table", table).put("part", "").put("key", key);
        row.put("removed", true).put("ver", version);
        history.add(row);
        changed();
    }

    /** Value of a row; empty if there is none. */
    public synchronized String text(String table, String key) {
        ObjectNode row = rows.get(table + "/" + key);
        if (row == null) {
            return "";
        }
        byte[] bytes = Base64.getDecoder().decode(row.path("value").asText());
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private boolean refused(Response response, Callback callback) {
        calls++;
        if (refusals == 0) {
            return false;
        }
        refusals--;
        reply(response, callback, 503, JsonHttpClient.newObject());
        return true;
    }

    private synchronized void read(Request request, Response response, Callback callback) {
        if (refused(response, callback)) {
            return;
        }
        Fields query = Request.extractQueryParameters(request);
        String from = query.getValue("from") == null ? "" : query.getValue("from");
        List<ObjectNode> found =
                rows.values().stream()
                        .filter(row -> row.path("table").asText().equals(query.getValue("table")))
                        .filter(row -> row.path("key").asText().compareTo(from) >= 0)
                        .sorted((a, b) -> a.path("key").asText().compareTo(b.path("key").asText()))
                        .toList();
        ObjectNode body = answer(found.subList(0, Math.min(PAGE, found.size())));
        body.put("truncated", found.size() > PAGE);
        reply(response, callback, 200, body);
    }

    private synchronized void feed(Request request, Response response, Callback callback) {
        Fields query = Request.extractQueryParameters(request);
        if (refusedBefore) {
            waitsAfterRefusals.add(Long.parseLong(query.getValue("wait_ms")));
        }
        refusedBefore = refused(response, callback);
        if (refusedBefore) {
            return;
        }
        long after = Long.parseLong(query.getValue("after_rev"));
        if (after < oldest || after > version) {
            reply(response, callback, 410, JsonHttpClient.newObject());
            return;
        }
        long wait = Math.min(LONGEST_WAIT_MILLIS, Long.parseLong(query.getValue("wait_ms")));
        WaitingQuestion question =
                new WaitingQuestion(query.getValue("table"), after, response, callback);
        if (wait == 0 || closing || !changes(question).isEmpty()) {
            reply(response, callback, 200, answer(changes(question)));
            return;
        }
        waiting.add(question);
        timer.schedule(() -> answerNow(question), wait, TimeUnit.MILLISECONDS);
    }

    private synchronized void answerNow(WaitingQuestion question) {
        if (waiting.remove(question)) {
            ObjectNode body = answer(changes(question));
            reply(question.response(), question.callback(), 200, body);
        }
    }

    private synchronized void answerAll() {
        List.copyOf(waiting).forEach(this::answerNow);
    }

    private void changed() {
        List.copyOf(waiting).stream()
                .filter(question -> !changes(question).isEmpty())
                .forEach(this::answerNow);
    }

    private List<ObjectNode> changes(WaitingQuestion question) {
        return history.stream()
                .filter(row -> row.path("table").asText().equals(question.table()))
                .filter(row -> row.path("ver").asLong() > question.after())
                .toList();
    }

    private ObjectNode answer(List<ObjectNode> found) {
        ObjectNode body = JsonHttpClient.newObject();
        ArrayNode array = body.putArray("rows");
        found.forEach(array::add);
        body.put("ver", version).put("now_ms", System.nanoTime() / 1_000_000);
        return body;
    }

    private void write(Request request, Response response, Callback callback) {
        RequestBodies.read(request, 1 << 20, callback, body -> write(body, response, callback));
    }

    private synchronized void write(byte[] body, Response response, Callback callback) {
        if (refused(response, callback)) {
            return;
        }
        JsonNode transaction = JsonHttpClient.parseJson(new String(body, StandardCharsets.UTF_8));
        for (JsonNode expected : transaction.path("expect_rev")) {
            ObjectNode row = rows.get(name(expected));
            long actual = row == null ? 0 : row.path("ver").asLong();
            if (actual != expected.path("ver").asLong()) {
                reply(response, callback, 412, answer(List.of()));
                return;
            }
        }
        for (JsonNode put : transaction.path("puts")) {
            putBase64(
                    put.path("table").asText(),
                    put.path("key").asText(),
                    put.path("value").asText());
        }
        if (lostAnswers > 0) {
            lostAnswers--;
            callback.failed(new IOException("answer lost"));
            return;
        }
        reply(response, callback, 200, answer(List.of()));
    }

    private void reply(Response response, Callback callback, int status, ObjectNode body) {
        response.getHeaders().put("Store-Era", era);
        Replies.sendJson(response, callback, status, body);
    }

    private static String name(JsonNode row) {
        return row.path("table").asText() + "/" + row.path("key").asText();
    }

    @Override
    public void close() throws Exception {
        synchronized (this) {
            closing = true;
            answerAll();
        }
        timer.shutdownNow();
        // At once: a connection that has sent no request yet would hold up a graceful stop.
        server.setStopTimeout(0);
        server.stop();
    }
}
