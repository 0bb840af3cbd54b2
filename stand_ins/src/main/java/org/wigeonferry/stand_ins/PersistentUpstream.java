package org.wigeonferry.stand_ins;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An upstream that reads requests one after the other on each connection, and whose answers are
 * written by a script.
 *
 * <p>Thread safe.
 */
public final class PersistentUpstream implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(PersistentUpstream.class);
    private static final int BACKLOG = 50;

    private static final Duration MAX_CLOSE_TIME = Duration.ofSeconds(5);

    private final ServerSocket listener;
    private final Thread acceptor;
    private final PersistentUpstreamScript script;
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger mostOpen = new AtomicInteger();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final List<ReceivedRequest> requests = new CopyOnWriteArrayList<>();

    /**
     * Starts to listen.
     *
     * @param port 0 for any free port
     */
    public PersistentUpstream(int port, PersistentUpstreamScript script) throws IOException {
        this.script = script;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        acceptor = daemon(this::accept);
        acceptor.start();
    }

    /** The port. */
    public int port() {
        return listener.getLocalPort();
    }

    /** The requests that came, in their order. */
    public List<ReceivedRequest> requests() {
        return List.copyOf(requests);
    }

    /** Number of connections that are open. */
    public int openConnections() {
        return open.size();
    }

    /** The largest number of connections that were open at the same time. */
    public int mostOpenConnections() {
        return mostOpen.get();
    }

    /** Ends like a process that crashes: all connections are reset. */
    @Override
    public void close() throws IOException {
        listener.close();
        awaitEnd(acceptor);
        open.forEach(PersistentUpstream::reset);
    }

    /** Resets a connection, unless the other side has ended it meanwhile. */
    private static void reset(Socket socket) {
        try (socket) {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            LOG.debug("connection ended before: {}", e.toString());
        }
    }

    /** Waits for a thread, as the port is taken until the thread has left the system call. */
    private static void awaitEnd(Thread thread) throws IOException {
        try {
            thread.join(MAX_CLOSE_TIME.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted while closing");
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                int connection = connections.incrementAndGet();
                open.add(socket);
                mostOpen.accumulateAndGet(open.size(), Math::max);
                daemon(() -> serve(socket, connection)).start();
            } catch (IOException e) {
                LOG.debug("listener closed: {}", e.toString());
            }
        }
    }

    private void serve(Socket socket, int connection) {
        try (socket) {
            for (int number = 1; !socket.isClosed(); number++) {
                String head = RequestReader.readHead(socket.getInputStream());
                RequestReader.readBody(head, socket.getInputStream());
                ReceivedRequest request = new ReceivedRequest(head, connection, number);
                requests.add(request);
                script.answer(request, socket);
            }
        } catch (IOException e) {
            LOG.debug("connection ended: {}", e.toString());
        } finally {
            open.remove(socket);
        }
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "persistent-upstream");
        thread.setDaemon(true);
        return thread;
    }
}
