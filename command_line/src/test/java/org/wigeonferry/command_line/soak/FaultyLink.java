package org.wigeonferry.command_line.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.core_types.HostAddress;

/**
 * A way between two processes over loopback that can delay, reset, or swallow either direction.
 *
 * <p>Thread safe.
 */
final class FaultyLink implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(FaultyLink.class);
    private static final int BUFFER = 16 << 10;

    private final HostAddress target;
    private final ServerSocket listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile long delayMillis;
    private volatile boolean thereIsCut;
    private volatile boolean backIsCut;

    FaultyLink(HostAddress target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
        daemon(this::accept);
    }

    HostAddress address() {
        return new HostAddress("127.0.0.1", listener.getLocalPort());
    }

    void delay(long millis) {
        delayMillis = millis;
    }

    /** Swallows what is sent; bytes that were swallowed never arrive, so their connection ends. */
    void cut(boolean there, boolean back) {
        thereIsCut = there;
        backIsCut = back;
    }

    void reset() {
        open.forEach(FaultyLink::reset);
    }

    void heal() {
        boolean wasCut = thereIsCut || backIsCut;
        delayMillis = 0;
        cut(false, false);
        if (wasCut) {
            reset();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        reset();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket near = listener.accept();
                daemon(() -> connect(near));
            } catch (IOException e) {
                LOG.debug("link closed: {}", e.toString());
            }
        }
    }

    private void connect(Socket near) {
        try {
            Socket far = new Socket(target.host(), target.port());
            far.setTcpNoDelay(true);
            near.setTcpNoDelay(true);
            open.add(near);
            open.add(far);
            daemon(() -> pump(near, far, true));
            pump(far, near, false);
        } catch (IOException e) {
            LOG.debug("no connection to {}: {}", target, e.toString());
            reset(near);
        }
    }

    private void pump(Socket from, Socket to, boolean there) {
        byte[] buffer = new byte[BUFFER];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int count = in.read(buffer);
            while (count >= 0) {
                if (delayMillis > 0) {
                    Thread.sleep(delayMillis);
                }
                if (!(there ? thereIsCut : backIsCut)) {
                    out.write(buffer, 0, count);
                    out.flush();
                }
                count = in.read(buffer);
            }
            to.shutdownOutput();
        } catch (IOException e) {
            reset(from);
            reset(to);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            if (!there) {
                open.remove(from);
                open.remove(to);
            }
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            LOG.debug("closed already: {}", e.toString());
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "faulty-link");
        thread.setDaemon(true);
        thread.start();
    }
}
