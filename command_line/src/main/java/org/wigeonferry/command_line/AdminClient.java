package org.wigeonferry.command_line;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.node_runtime.HttpClients;
import org.wigeonferry.platform_clients.JsonHttpClient;
import org.wigeonferry.platform_clients.JsonResponse;

/**
 * Calls the administration API.
 *
 * <p>Thread safe.
 */
final class AdminClient implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final HttpClient client;
    private final HostAddress address;
    private final String key;

    AdminClient(HostAddress address, String key) throws StepException {
        client = HttpClients.startHttp1("admin-client", Duration.ofSeconds(2));
        this.address = address;
        this.key = key;
    }

    JsonResponse show(String path) throws StepException {
        JsonHttpClient calls =
                new JsonHttpClient(client, address, TIMEOUT)
                        .withHeaders(Map.of("Authorization", "Bearer " + key));
        return await(path, calls.fetch("/admin/v1/" + path));
    }

    JsonResponse postNote(String text, boolean dryRun) throws StepException {
        var request =
                client.newRequest("http://" + address + "/admin/v1/notes?dry_run=" + dryRun)
                        .method(HttpMethod.POST)
                        .headers(fields -> fields.put("Authorization", "Bearer " + key))
                        .body(new StringRequestContent("text/plain", text))
                        .timeout(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        return await(
                "notes",
                new CompletableResponseListener(request)
                        .send()
                        .thenApply(
                                r ->
                                        new JsonResponse(
                                                r.getStatus(),
                                                r.getHeaders().asImmutable(),
                                                JsonHttpClient.parseJson(r.getContentAsString()))));
    }

    @Override
    public void close() throws StepException {
        try {
            client.stop();
        } catch (Exception e) {
            throw new StepException("stop client", address.toString(), e);
        }
    }

    /** A line for people: the members of a JSON object, or each of its rows. */
    static String readable(JsonNode body) {
        StringBuilder text = new StringBuilder();
        body.fields()
                .forEachRemaining(
                        member -> {
                            if (!member.getValue().isArray()) {
                                text.append(member.getKey()).append(": ");
                                text.append(member.getValue()).append('\n');
                                return;
                            }
                            text.append(member.getKey()).append(":\n");
                            member.getValue()
                                    .forEach(row -> text.append("  ").append(row).append('\n'));
                        });
        return text.toString();
    }

    private JsonResponse await(String step, CompletableFuture<JsonResponse> reply)
            throws StepException {
        try {
            return reply.get(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new StepException(step, address.toString(), e);
        } catch (ExecutionException | TimeoutException e) {
            throw new StepException(step, address.toString(), e);
        }
    }
}
