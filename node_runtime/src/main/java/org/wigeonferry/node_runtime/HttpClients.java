package org.wigeonferry.node_runtime;

import java.time.Duration;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.http2.client.HTTP2Client;
import org.eclipse.jetty.http2.client.transport.HttpClientTransportOverHTTP2;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.wigeonferry.core_types.StepException;

/**
 * Starts HTTP clients that send every request once.
 *
 * <p>They follow no redirects and answer no authentication challenges, because either would send
 * again a request that may not be repeated. They keep no cookies, because a response must not
 * change the requests after it, which are other callers'. Stateless and thread safe.
 */
public final class HttpClients {
    private static final int MAX_CONNECTIONS_PER_DESTINATION = 512;
    private static final int MAX_QUEUED_REQUESTS_PER_DESTINATION = 4096;
    private static final int STREAM_WINDOW_BYTES = 64 << 10;
    private static final int SESSION_WINDOW_BYTES = 16 << 20;

    private HttpClients() {}

    /** Starts an HTTP/1.1 client for calls to the entries, the upstreams and the platform. */
    public static HttpClient startHttp1(String name, Duration connectTimeout) throws StepException {
        return start(
                new HttpClient(new HttpClientTransportOverHTTP(new ResetDetectingConnector())),
                name,
                connectTimeout);
    }

    /** Starts an HTTP/2 client for calls between the processes of this system. */
    public static HttpClient startHttp2(String name, Duration connectTimeout) throws StepException {
        HTTP2Client http2 = new HTTP2Client();
        http2.setInitialStreamRecvWindow(STREAM_WINDOW_BYTES);
        http2.setInitialSessionRecvWindow(SESSION_WINDOW_BYTES);
        return start(new HttpClient(new HttpClientTransportOverHTTP2(http2)), name, connectTimeout);
    }

    /**
     * Prepares an HTTP/1.1 connection for a request, and bounds what the peer may send besides
     * content.
     *
     * @return the limit, which has to be told of the content
     */
    public static OverheadLimit beginExchange(Connection connection) {
        return endPoint(connection).beginExchange();
    }

    /** Closes an HTTP/1.1 connection without requests as soon as the peer sends anything on it. */
    public static void refuseBytes(Connection connection) {
        endPoint(connection).refuseBytes();
    }

    /**
     * Whether the peer has neither closed an HTTP/1.1 connection without requests nor sent anything
     * on it; otherwise it has to be closed.
     */
    public static boolean isQuiet(Connection connection) {
        return !connection.isClosed() && endPoint(connection).isQuiet();
    }

    /** Runs an action when an HTTP/1.1 connection has been closed, by either side. */
    public static void onClosed(Connection connection, Runnable action) {
        ((org.eclipse.jetty.io.Connection) connection).addEventListener(new ClosedListener(action));
    }

    /**
     * Stops the upload of a request on an HTTP/1.1 connection when its response has ended, as the
     * peer may never read the rest. The request fails unless all of it was written before.
     */
    public static void stopUpload(Connection connection) {
        if (endPoint(connection).endResponse()) {
            connection.close();
        }
    }

    private static ResetDetectingEndPoint endPoint(Connection connection) {
        EndPoint endPoint = ((org.eclipse.jetty.io.Connection) connection).getEndPoint();
        return (ResetDetectingEndPoint) endPoint;
    }

    private static HttpClient start(HttpClient client, String name, Duration connectTimeout)
            throws StepException {
        QueuedThreadPool threads =
                new QueuedThreadPool(PoolSizes.MAX_POOL_THREADS, PoolSizes.MIN_POOL_THREADS);
        threads.setName(name);
        threads.setDaemon(true);
        client.setExecutor(threads);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        client.setHttpCookieStore(new HttpCookieStore.Empty());
        client.setConnectTimeout(connectTimeout.toMillis());
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_DESTINATION);
        client.setMaxRequestsQueuedPerDestination(MAX_QUEUED_REQUESTS_PER_DESTINATION);
        try {
            client.start();
        } catch (Exception e) {
            throw new StepException("start HTTP client", name, e);
        }
        // These handlers would follow redirects and authentication challenges by sending again.
        client.getProtocolHandlers().clear();
        client.getContentDecoderFactories().clear();
        return client;
    }
}
