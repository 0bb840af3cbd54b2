package org.wigeonferry.stand_ins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An upstream whose answers are written byte by byte by a script.
 *
 * <p>Reads one request a connection and hands it to the script, which may answer, stall, break off
 * or send rubbish. Thread safe.
 */
public final class ScriptedUpstream implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(ScriptedUpstream.class);

    private static final int SMALL_BUFFER_BYTES = 16 << 10;

    private final ServerSocket listener;
    private final UpstreamScript script;
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private volatile boolean readsBodies = true;

    /** Starts to listen on a free port. */
    public ScriptedUpstream(UpstreamScript script) throws IOException {
        this.script = script;
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        daemon(this::accept).start();
    }

    /** Answers before the body of a request is read; the sender of a long body has to wait. */
    public ScriptedUpstream withoutReadingBodies() throws IOException {
        readsBodies = false;
        listener.setReceiveBufferSize(SMALL_BUFFER_BYTES);
        return this;
    }

    /** The port. */
    public int port() {
        return listener.getLocalPort();
    }

    /** Heads of the requests that came, in their order. */
    public List<String> requests() {
        return List.copyOf(requests);
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                daemon(() -> serve(socket)).start();
            } catch (IOException e) {
                LOG.debug("listener closed: {}", e.toString());
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            String head = RequestReader.readHead(socket.getInputStream());
            if (readsBodies) {
                RequestReader.readBody(head, socket.getInputStream());
            }
            requests.add(head);
            script.answer(head, socket);
        } catch (IOException e) {
            LOG.debug("connection ended: {}", e.toString());
        }
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "scripted-upstream");
        thread.setDaemon(true);
        return thread;
    }
}
