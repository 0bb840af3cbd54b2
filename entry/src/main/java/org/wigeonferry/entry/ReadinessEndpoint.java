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
import org.wigeonferry.platform_clients.JsonCalls;

/**
 * Serves {@code GET /ready}: whether the balancer may send callers here.
 *
 * <p>With {@code ?wait=true} the reply comes once the process is ready. Invariant: at most {@link
 * #MAX_WAITING_REQUESTS} replies wait. Thread safe; its list is touched on the control thread only.
 */
final class ReadinessEndpoint {
    /** Most replies that wait. */
    static final int MAX_WAITING_REQUESTS = 64;

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final ControlExecutor control;
    private final ControlState state;
    private final List<Runnable> waiting = new ArrayList<>();
    private volatile boolean stopping;

    ReadinessEndpoint(ControlExecutor control, ControlState state) {
        this.control = control;
        this.state = state;
        state.addCatalogListener(catalog -> release());
    }

    void onStopping() {
        stopping = true;
    }

    void serve(Request request, Response response, Callback callback) {
        boolean wait = "true".equals(Request.extractQueryParameters(request).getValue("wait"));
        control.execute(
                () -> {
                    if (wait && !configured() && waiting.size() < MAX_WAITING_REQUESTS) {
                        waiting.add(() -> reply(response, callback));
                        return;
                    }
                    reply(response, callback);
                });
    }

    private void release() {
        waiting.forEach(Runnable::run);
        waiting.clear();
    }

    private boolean configured() {
        return !state.catalog().revision().equals(Revision.NONE);
    }

    private void reply(Response response, Callback callback) {
        if (configured() && !stopping) {
            Replies.sendJson(response, callback, OK, JsonCalls.object().put("ready", true));
            return;
        }
        Replies.sendError(
                response, callback, new ApiError(UNAVAILABLE, "not_ready", true, "not ready"));
    }
}
