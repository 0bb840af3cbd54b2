package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A TCP proxy whose open connections can be made silent for good, without a reset, while new ones
 * work (DEPLOY.md, "How these days are played"). Thread safe.
 */
public final class Proxy implements AutoCloseable {
    private static final class Link {
        volatile boolean silent;
    }

    private final ServerSocket listener;
    private final String host;
    private final int port;
    private final List<Link> links = new CopyOnWriteArrayList<>();
    private volatile Consumer<String> watched = text -> {};
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    public Proxy(String target) throws IOException {
        host = target.substring(0, target.lastIndexOf(':'));
        port = Integer.parseInt(target.substring(target.lastIndexOf(':') + 1));
        listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        AppServer.thread(this::accept);
    }

    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Waits until bytes with this text pass from the near side to the far one. */
    public void awaitRequest(String text) throws InterruptedException {
        CountDownLatch seen = new CountDownLatch(1);
        watched = bytes -> {
            if (bytes.contains(text)) {
                seen.countDown();
            }
        };
        if (!seen.await(20, TimeUnit.SECONDS)) {
            throw new IllegalStateException("no request with " + text);
        }
    }

    /** Makes all open connections silent; returns how many. */
    public int silenceOpenConnections() {
        links.forEach(link -> link.silent = true);
        return links.size();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket near = listener.accept();
                Socket far = new Socket(host, port);
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                sockets.add(near);
                sockets.add(far);
                Link link = new Link();
                links.add(link);
                AppServer.thread(() -> copy(near, far, link, true));
                AppServer.thread(() -> copy(far, near, link, false));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void copy(Socket from, Socket to, Link link, boolean fromNear) {
        byte[] bytes = new byte[16 << 10];
        try {
            while (true) {
                int count = from.getInputStream().read(bytes);
                if (link.silent) {
                    if (count < 0) {
                        return;
                    }
                    continue;
                }
                if (count < 0) {
                    to.shutdownOutput();
                    links.remove(link);
                    return;
                }
                to.getOutputStream().write(bytes, 0, count);
                if (fromNear) {
                    watched.accept(new String(bytes, 0, count, StandardCharsets.ISO_8859_1));
                }
            }
        } catch (IOException e) {
            if (!link.silent) {
                links.remove(link);
                closeQuietly(from);
                closeQuietly(to);
            }
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Nothing is left to do for this connection.
        }
    }
}
