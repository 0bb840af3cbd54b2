package org.wigeonferry.node_runtime;

import java.time.Duration;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http2.client.HTTP2Client;
import org.eclipse.jetty.http2.client.transport.HttpClientTransportOverHTTP2;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.wigeonferry.core_types.StepException;

/**
 * Makes HTTP clients that send every request once.
 *
 * <p>No redirects, no authentication round trips, no cookies: a call that may not be repeated is
 * never sent again by the client itself. Stateless and thread safe.
 */
public final class HttpClients {
    private static final int MAX_CONNECTIONS = 512;
    private static final int MAX_QUEUED = 4096;
    private static final int STREAM_WINDOW_BYTES = 64 << 10;
    private static final int SESSION_WINDOW_BYTES = 16 << 20;

    private HttpClients() {}

    /** Starts a client of HTTP/1.1 for callers, upstreams and the platform. */
    public static HttpClient startHttp1(String name, Duration connectTimeout) throws StepException {
        return start(
                new HttpClient(new HttpClientTransportOverHTTP(new ResetDetectingConnector())),
                name,
                connectTimeout);
    }

    /** Starts a client of HTTP/2 for this system's own processes. */
    public static HttpClient startHttp2(String name, Duration connectTimeout) throws StepException {
        HTTP2Client http2 = new HTTP2Client();
        http2.setInitialStreamRecvWindow(STREAM_WINDOW_BYTES);
        http2.setInitialSessionRecvWindow(SESSION_WINDOW_BYTES);
        return start(new HttpClient(new HttpClientTransportOverHTTP2(http2)), name, connectTimeout);
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
        client.setConnectTimeout(connectTimeout.toMillis());
        client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        client.setMaxRequestsQueuedPerDestination(MAX_QUEUED);
        try {
            client.start();
        } catch (Exception e) {
            throw new StepException("start HTTP client", name, e);
        }
        client.getProtocolHandlers().clear();
        client.getContentDecoderFactories().clear();
        return client;
    }
}
