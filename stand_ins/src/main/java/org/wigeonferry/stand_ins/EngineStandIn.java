package org.wigeonferry.stand_ins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.node_runtime.ApiError;
import org.wigeonferry.node_runtime.Daemon;
import org.wigeonferry.node_runtime.EndpointDispatcher;
import org.wigeonferry.node_runtime.HttpServers;
import org.wigeonferry.node_runtime.Replies;
import org.wigeonferry.node_runtime.RequestBodies;
import org.wigeonferry.platform_clients.JsonHttpClient;
import org.wigeonferry.settings.Settings;

/**
 * A small model engine: streams answers, is cold at first, and falls over under too much load.
 *
 * <p>A prompt with the word {@code POISON} crashes it. A crash drops every connection; the engine
 * comes back at once, cold and with a new instance id. Thread safe.
 */
public final class EngineStandIn implements Daemon {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final String POISON = "POISON";

    private final EngineSkills skills;
    private final EngineLoad load;
    private final Duration firstToken;
    private final Duration token;
    private final int tokens;
    private final AtomicInteger crashes = new AtomicInteger();
    private final Watchers watchers = new Watchers();
    private final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1);
    private final Server server;
    private volatile String instance = UUID.randomUUID().toString();
    private volatile double skillLoss;

    /** Whether a crash is closing connections; what still comes on them is not run. */
    private volatile boolean lost;

    /** Starts the engine. */
    public EngineStandIn(Settings settings) throws StepException {
        skills = new EngineSkills(settings.value(StandInKeys.SKILLS));
        load =
                new EngineLoad(
                        settings.value(StandInKeys.WARM_CAPACITY),
                        settings.value(StandInKeys.COLD_CAPACITY),
                        settings.value(StandInKeys.WARM_UP));
        firstToken = settings.value(StandInKeys.FIRST_TOKEN);
        token = settings.value(StandInKeys.TOKEN);
        tokens = settings.value(StandInKeys.TOKENS);
        EndpointDispatcher routes =
                new EndpointDispatcher()
                        .add("POST", "/v1/chat/completions", this::serveChat)
                        .add("GET", "/v1/watch", watchers::serve)
                        .add("GET", "/ledger", this::serveLedger)
                        .add("POST", "/control/crash", this::serveCrash)
                        .add("POST", "/control/leave", this::serveLeave)
                        .add("POST", "/control/skill-loss", this::serveSkillLoss);
        server =
                HttpServers.start(
                        "engine",
                        settings.value(StandInKeys.ADDRESS),
                        routes,
                        StandInIngress.create());
    }

    /** What the engine truly ran. */
    public EngineLedger ledger() {
        return load.ledger(crashes.get());
    }

    /** Loses every connection, as a crash does, and comes back cold. */
    public void crash() {
        crashes.incrementAndGet();
        instance = UUID.randomUUID().toString();
        lost = true;
        ServerConnector connector = (ServerConnector) server.getConnectors()[0];
        connector
                .getConnectedEndPoints()
                .forEach(
                        endPoint -> {
                            Connection connection = endPoint.getConnection();
                            if (connection != null) {
                                endPoint.close();
                            }
                        });
        load.cold();
        lost = false;
    }

    @Override
    public void drain(Duration deadline) {
        watchers.change("leaving");
    }

    @Override
    public void stop() {
        timer.shutdownNow();
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("engine did not stop", e);
        }
    }

    private void serveChat(Request request, Response response, Callback callback) {
        RequestBodies.read(
                request,
                MAX_BODY_BYTES,
                callback,
                body -> start(request, body, response, callback));
    }

    private void start(Request request, byte[] body, Response response, Callback callback) {
        String version = request.getHeaders().get("X-Version");
        Optional<Double> skill = Optional.ofNullable(version).flatMap(skills::skill);
        if (skill.isEmpty()) {
            Replies.sendError(
                    response,
                    callback,
                    new ApiError(BAD_REQUEST, "no_version", true, "no version " + version));
            return;
        }
        if (lost) {
            callback.failed(new IllegalStateException("engine crashed"));
            return;
        }
        String prompt = prompt(body);
        boolean borne = load.enter(version);
        if (!borne || prompt.contains(POISON)) {
            crash();
            callback.failed(new IllegalStateException("engine crashed"));
            return;
        }
        response.setStatus(OK);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
        response.getHeaders().put("X-Engine-Version", version);
        response.getHeaders().put("X-Engine-Instance", instance);
        double quality = EngineSkills.quality(skill.get() - skillLoss, prompt);
        String text = text(version, quality);
        long offset = Math.max(0, request.getHeaders().getLongField("X-Resume-Offset"));
        String rest = text.substring((int) Math.min(offset, text.length()));
        EngineStream stream =
                new EngineStream(response, callback, rest.split("(?<= )"), token, timer, load);
        timer.schedule(stream::next, firstToken.toNanos(), TimeUnit.NANOSECONDS);
    }

    private String text(String version, double quality) {
        StringBuilder text = new StringBuilder();
        text.append(String.format(Locale.ROOT, "q=%.3f version=%s ", quality, version));
        for (int i = 2; i < tokens; i++) {
            text.append("word").append(i).append(' ');
        }
        return text.toString();
    }

    private static String prompt(byte[] body) {
        JsonNode json = JsonHttpClient.parseJson(new String(body, StandardCharsets.UTF_8));
        StringBuilder prompt = new StringBuilder();
        json.path("messages").forEach(m -> prompt.append(m.path("content").asText()).append('\n'));
        return prompt.toString();
    }

    private void serveLedger(Request request, Response response, Callback callback) {
        EngineLedger ledger = ledger();
        ObjectNode json = JsonHttpClient.newObject();
        json.put("starts", ledger.starts()).put("overloads", ledger.overloads());
        json.put("crashes", ledger.crashes()).put("most_in_flight", ledger.mostInFlight());
        ObjectNode versions = json.putObject("starts_by_version");
        ledger.startsByVersion().forEach(versions::put);
        Replies.sendJson(response, callback, OK, json);
    }

    private void serveCrash(Request request, Response response, Callback callback) {
        crash();
        callback.succeeded();
    }

    private void serveLeave(Request request, Response response, Callback callback) {
        watchers.change("leaving");
        Replies.sendJson(response, callback, OK, JsonHttpClient.newObject());
    }

    private void serveSkillLoss(Request request, Response response, Callback callback) {
        RequestBodies.read(request, MAX_BODY_BYTES)
                .thenAccept(
                        body -> {
                            String text = new String(body, StandardCharsets.UTF_8);
                            skillLoss = JsonHttpClient.parseJson(text).path("loss").asDouble();
                            Replies.sendJson(response, callback, OK, JsonHttpClient.newObject());
                        });
    }
}
