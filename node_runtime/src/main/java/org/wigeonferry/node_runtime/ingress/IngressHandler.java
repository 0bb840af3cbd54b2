package org.wigeonferry.node_runtime.ingress;

import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Ties the memory of each request to its end.
 *
 * <p>Thread safe.
 */
public final class IngressHandler extends Handler.Wrapper {
    /** Wraps the handler of a server whose connectors are {@link IngressConnector}s. */
    public IngressHandler(Handler handler) {
        super(handler);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        Connection connection = request.getConnectionMetaData().getConnection();
        GuardedConnection guarded = IngressEndPoint.connectionOf(connection.getEndPoint());
        long headBytes =
                connection instanceof IngressHttpConnection http1 ? http1.takeHeadBytes() : 0;
        RequestHold hold = new RequestHold(guarded, headBytes);
        hold.attach(request);
        guarded.onRequest(System.nanoTime());
        Runnable end =
                () -> {
                    hold.close();
                    guarded.onRequestEnd(System.nanoTime());
                };
        return super.handle(request, response, Callback.from(end, callback));
    }
}
