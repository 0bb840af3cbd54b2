package org.wigeonferry.command_line;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.wigeonferry.platform_clients.JsonHttpClient;

/** The callers' API and the command line, against one deployment of real processes. */
class CallerApiTest {
    private static final String CHAT = "/v1/chat/completions";
    private static final String GOOD =
            "{\"model\":\"auto\",\"messages\":[{\"role\":\"user\",\"content\":\"draft\"}]}";
    private static final String KEY = "palace" + DemoNotes.KEY_SUFFIX;
    private static final int MAX_BYTES = 4 << 20;

    private static FailureHarness harness;

    @BeforeAll
    static void start() throws Exception {
        harness = new FailureHarness();
    }

    @AfterAll
    static void stop() throws Exception {
        harness.close();
    }

    @Test
    void chatIsAnsweredWithVersionAndSession() {
        ContentResponse reply = post(CHAT, KEY, GOOD);
        assertThat(reply.getStatus()).isEqualTo(200);
        assertThat(json(reply).path("choices").path(0).path("message").path("content").asText())
                .startsWith("q=");
        assertThat(reply.getHeaders().get("X-Version")).isNotEmpty();
        assertThat(reply.getHeaders().get("X-Session")).isNotEmpty();
    }

    @Test
    void sessionKeepsItsVersionAtAnotherEntry() {
        Request first = request(0, HttpMethod.POST, CHAT, KEY);
        String named = GOOD.replace("auto", "large-1");
        ContentResponse reply = send(first.body(new StringRequestContent("a/json", named)));
        String session = reply.getHeaders().get("X-Session");
        for (int i = 0; i < 6; i++) {
            Request next =
                    request(i % 3, HttpMethod.POST, CHAT, KEY)
                            .headers(fields -> fields.put("X-Session", session))
                            .body(new StringRequestContent("application/json", GOOD));
            assertThat(send(next).getHeaders().get("X-Version")).isEqualTo("large-1");
        }
    }

    @Test
    void sessionOfAnotherAccountIsRefused() {
        String session = post(CHAT, KEY, GOOD).getHeaders().get("X-Session");
        Request other =
                request(1, HttpMethod.POST, CHAT, "market" + DemoNotes.KEY_SUFFIX)
                        .headers(fields -> fields.put("X-Session", session))
                        .body(new StringRequestContent("application/json", GOOD));
        assertError(send(other), 400, "bad_request");
    }

    @Test
    void strangersGetNothing() {
        assertError(post(CHAT, "palace.wrong", GOOD), 401, "unauthorized");
        assertError(post(CHAT, "nobody.x", GOOD), 401, "unauthorized");
        assertError(post(CHAT, "", GOOD), 401, "unauthorized");
    }

    @Test
    void malformedRequestsGetAClearErrorAndAreNotRun() {
        for (String body : List.of("", "{", "[]", "{\"model\":1}", "{\"model\":\"auto\"}")) {
            assertError(post(CHAT, KEY, body), 400, "bad_request");
        }
    }

    @Test
    void oversizedBodyIsRefused() {
        String large = GOOD.replace("draft", "x".repeat(2 << 20));
        assertError(post(CHAT, KEY, large), 400, "bad_request");
    }

    @Test
    void callThatMayNotBeRepeatedNeedsAKey() {
        assertError(post("/v1/services/booking/book", KEY, "{}"), 400, "bad_request");
    }

    @Test
    void sameKeyGivesTheStoredAnswerAndAnotherBodyAConflict() {
        ContentResponse first = book("api-1", "{\"a\":1}");
        ContentResponse again = book("api-1", "{\"a\":1}");
        assertThat(first.getStatus()).isEqualTo(200);
        assertThat(again.getContentAsString()).isEqualTo(first.getContentAsString());
        assertThat(again.getHeaders().get("X-Stored-Answer")).isEqualTo("true");
        assertError(book("api-1", "{\"a\":2}"), 409, "conflict");
    }

    @Test
    void serviceThatTheAccountMayNotCallIsRefused() {
        assertError(
                send(request(0, HttpMethod.GET, "/v1/services/deposit/x", KEY)),
                403,
                "not_allowed");
    }

    @Test
    void operationsThatLeaveTheServiceAreRefused() {
        Request request = request(0, HttpMethod.GET, "/v1/services/booking/%2e%2e/status", KEY);
        assertThat(send(request).getStatus()).isIn(400, 404);
    }

    @Test
    void modelsListsWhatTheAccountMayUse() {
        JsonNode data = json(send(request(2, HttpMethod.GET, "/v1/models", KEY))).path("data");
        assertThat(data.findValuesAsText("id")).contains("small-1", "large-1");
        assertThat(data.findValuesAsText("id")).doesNotContain(DemoNotes.FORBIDDEN);
    }

    @Test
    void commandLineDrivesTheAdministration() {
        String admin = harness.entry(1).admins().toString();
        assertThat(run("status", admin)).isZero();
        assertThat(run("versions", admin)).isZero();
        assertThat(run("upstreams", admin)).isZero();
        assertThat(run("bills", admin)).isZero();
        assertThat(run("notes", admin)).isZero();
        assertThat(run("zone out nowhere", admin)).isZero();
        assertThat(run("zone in nowhere", admin)).isZero();
        assertThat(run("drain no-such-upstream", admin)).isEqualTo(ExitCodes.FAILED);
        assertThat(Main.run(new String[] {"status", "--admin", admin, "--key", "wrong.key"}))
                .isEqualTo(ExitCodes.FAILED);
        assertThat(Main.run(new String[] {"status", "--admin", "nowhere", "--key", "k"}))
                .isEqualTo(ExitCodes.USAGE);
        assertThat(Main.run(new String[] {"status", "--admin", "127.0.0.1:1", "--key", "k"}))
                .isEqualTo(ExitCodes.UNKNOWN);
        assertThat(Main.run(new String[] {"no-such-command"})).isEqualTo(ExitCodes.USAGE);
    }

    @Test
    void processesOfOthersCanNotGiveOrders() {
        Request order =
                harness.client()
                        .newRequest("http://" + harness.engine(0).agentAddress() + "/order")
                        .method(HttpMethod.POST)
                        .body(new StringRequestContent("text/plain", "anything"));
        assertThat(send(order).getStatus()).isEqualTo(403);
    }

    private static int run(String command, String admin) {
        String[] words =
                (command + " --admin " + admin + " --key " + DemoFiles.ADMIN_KEY).split(" ");
        return Main.run(words);
    }

    private static ContentResponse book(String key, String body) {
        return send(
                request(0, HttpMethod.POST, "/v1/services/booking/book", KEY)
                        .headers(fields -> fields.put("Idempotency-Key", key))
                        .body(new StringRequestContent("application/json", body)));
    }

    private static ContentResponse post(String path, String key, String body) {
        return send(
                request(0, HttpMethod.POST, path, key)
                        .body(new StringRequestContent("application/json", body)));
    }

    private static Request request(int entry, HttpMethod method, String path, String key) {
        return harness.client()
                .newRequest("http://" + harness.entry(entry).callers() + path)
                .method(method)
                .headers(fields -> fields.put("Authorization", "Bearer " + key))
                .timeout(20, TimeUnit.SECONDS);
    }

    private static ContentResponse send(Request request) {
        CompletableFuture<ContentResponse> reply =
                new CompletableResponseListener(request, MAX_BYTES).send();
        return reply.orTimeout(Duration.ofSeconds(25).toMillis(), TimeUnit.MILLISECONDS).join();
    }

    private static JsonNode json(ContentResponse reply) {
        return JsonHttpClient.parseJson(reply.getContentAsString());
    }

    private static void assertError(ContentResponse reply, int status, String type) {
        assertThat(reply.getStatus()).isEqualTo(status);
        assertThat(json(reply).path("error").path("type").asText()).isEqualTo(type);
        assertThat(json(reply).path("error").path("not_run").asBoolean()).isTrue();
    }
}
