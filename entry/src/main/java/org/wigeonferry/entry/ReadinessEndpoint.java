package org.wigeonferry.entry;

import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.wigeonferry.core_types.Revision;
import org.wigeonferry.node_runtime.ApiError;
import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.node_runtime.ControlState;
import org.wigeonferry.node_runtime.Replies;
import org.wigeonferry.platform_clients.JsonHttpClient;

/**
 * Serves {@code GET /ready}: whether the load balancer in front may send callers to this process.
 *
 * <p>With {@code ?wait=true} the reply is delayed until the process has a configuration. Invariant:
 * at most {@link #MAX_WAITING_REQUESTS} requests wait; others get a reply at once. Thread safe; the
 * list is accessed on the control thread only.
 */
final class ReadinessEndpoint {
    /** Maximum number of requests with {@code ?wait=true} that wait at a time. */
    static final int MAX_WAITING_REQUESTS = 64;

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final ControlExecutor control;
    private final ControlState state;
    private final List<Runnable> delayedReplies = new ArrayList<>();
    private volatile boolean stopping;

    ReadinessEndpoint(ControlExecutor control, ControlState state) {
        this.control = control;
        this.state = state;
        state.addCatalogListener(catalog -> sendDelayedReplies());
    }

    void onStopping() {
        stopping = true;
    }

    void serve(Request request, Response response, Callback callback) {
        boolean wait = "true".equals(Request.extractQueryParameters(request).getValue("wait"));
        control.execute(
                () -> {
                    if (wait
                            && !hasConfiguration()
                            && delayedReplies.size() < MAX_WAITING_REQUESTS) {
                        delayedReplies.add(() -> reply(response, callback));
                        return;
                    }
                    reply(response, callback);
                });
    }

    private void sendDelayedReplies() {
        delayedReplies.forEach(Runnable::run);
        delayedReplies.clear();
    }

    private boolean hasConfiguration() {
        return !state.catalog().revision().equals(Revision.NONE);
    }

    private void reply(Response response, Callback callback) {
        if (hasConfiguration() && !stopping) {
            Replies.sendJson(response, callback, OK, JsonHttpClient.newObject().put("ready", true));
            return;
        }
        Replies.sendError(
                response,
                callback,
                new ApiError(
                        UNAVAILABLE,
                        "not_ready",
                        true,
                        "process has no configuration yet or is stopping"));
    }
}
