package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.Test;

/**
 * Guards against a deadlock of a call and its response when callers leave streams: Jetty was called
 * with the monitor of the response held, and called back into the call, whose next event held the
 * call and waited for the response.
 */
class CallersThatLeaveHangRouterTest {
    private final List<String> calls = new CopyOnWriteArrayList<>();
    private final List<Callback> writes = new CopyOnWriteArrayList<>();
    private CallerResponse callerResponse = newResponse();

    private CallerResponse newResponse() {
        Response response =
                (Response)
                        Proxy.newProxyInstance(
                                getClass().getClassLoader(),
                                new Class<?>[] {Response.class},
                                (proxy, method, args) -> onJettyCall(method.getName(), args));
        return new CallerResponse(
                response,
                Callback.from(() -> record("succeeded"), cause -> record("failed")),
                reservation());
    }

    private Object onJettyCall(String method, Object... args) {
        if (method.equals("getHeaders")) {
            return HttpFields.build();
        }
        if (method.equals("write")) {
            record("write " + args[0]);
            writes.add((Callback) args[2]);
        }
        return null;
    }

    private void record(String call) {
        assertThat(Thread.holdsLock(callerResponse)).as(call).isFalse();
        calls.add(call);
    }

    private void send(String event) {
        callerResponse.bufferEvents(ByteBuffer.wrap(event.getBytes(StandardCharsets.UTF_8)));
        callerResponse.flush();
    }

    @Test
    void jettyIsCalledWithoutMonitor() {
        send("event");
        send("next event");
        writes.get(0).succeeded();
        callerResponse.abort(new IOException("caller left"));
        assertThat(calls).containsExactly("write false", "write false", "failed");
    }

    @Test
    void eventsWaitForTheWriteInProgress() {
        send("event");
        send("next event");
        assertThat(calls).containsExactly("write false");
        writes.get(0).succeeded();
        callerResponse.endStream();
        assertThat(calls).containsExactly("write false", "write false");
        writes.get(1).succeeded();
        assertThat(calls).containsExactly("write false", "write false", "write true");
    }

    @Test
    void completeResponseIsSentWithoutMonitor() {
        callerResponse.sendComplete(200, HttpFields.EMPTY, new byte[0]);
        callerResponse.abort(new IOException("too late"));
        assertThat(calls).containsExactly("write true");
    }

    @Test
    void abortFromWithinWriteRunsAfterIt() {
        Response response =
                (Response)
                        Proxy.newProxyInstance(
                                getClass().getClassLoader(),
                                new Class<?>[] {Response.class},
                                (proxy, method, args) -> {
                                    calls.add("write begins");
                                    ((Callback) args[2]).failed(new IOException("caller left"));
                                    calls.add("write ends");
                                    return null;
                                });
        callerResponse =
                new CallerResponse(
                        response,
                        Callback.from(() -> {}, cause -> record("failed")),
                        reservation());
        send("event");
        assertThat(calls).containsExactly("write begins", "write ends", "failed");
    }

    @Test
    void responseThatJettyRejectsFails() {
        Response response =
                (Response)
                        Proxy.newProxyInstance(
                                getClass().getClassLoader(),
                                new Class<?>[] {Response.class},
                                (proxy, method, args) -> {
                                    throw new IllegalStateException("already committed");
                                });
        callerResponse =
                new CallerResponse(
                        response,
                        Callback.from(() -> {}, cause -> record("failed")),
                        reservation());
        callerResponse.sendComplete(200, HttpFields.EMPTY, new byte[0]);
        assertThat(calls).containsExactly("failed");
    }

    private static BufferReservation reservation() {
        return new BufferReservation(new ResponseBudget(1 << 20));
    }
}
