package org.wigeonferry.command_line.ingress;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.wigeonferry.core_types.HostAddress;

/**
 * A group of callers, each with a connection that stays open until the group is closed.
 *
 * <p>Used by one thread; the callers run on threads of their own.
 */
final class CallerGroup implements AutoCloseable {
    /** A caller that can send no more, since nobody reads, counts as done after this time. */
    private static final Duration SEND_WAIT = Duration.ofSeconds(20);

    private static final Duration PAUSE = Duration.ofMillis(50);

    /** Limits how much of a response the kernel takes for a caller that does not read. */
    private static final int RECEIVE_BUFFER_BYTES = 16 << 10;

    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final ConcurrentLinkedQueue<Socket> sockets = new ConcurrentLinkedQueue<>();

    /** Connects callers and lets each send; returns once all have sent what they can. */
    void send(int callers, HostAddress address, CallerScript script) {
        send(callers, address, script, socket -> {});
    }

    /** Connects callers that send a byte of a text now and then after their start. */
    void drip(int callers, HostAddress address, String start, String text) {
        send(
                callers,
                address,
                out -> Pieces.writeText(out, start),
                socket -> {
                    for (int i = 0; !threads.isShutdown(); i = (i + 1) % text.length()) {
                        LockSupport.parkNanos(PAUSE.toNanos());
                        Pieces.writeText(socket.getOutputStream(), text.substring(i, i + 1));
                    }
                });
    }

    /** Connects callers that read a byte of the response now and then. */
    void sip(int callers, HostAddress address, String request) {
        send(
                callers,
                address,
                out -> Pieces.writeText(out, request),
                socket -> {
                    while (!threads.isShutdown() && socket.getInputStream().read() >= 0) {
                        LockSupport.parkNanos(PAUSE.toNanos());
                    }
                });
    }

    /** Returns once all have sent what they can; what each does then goes on. */
    private void send(int callers, HostAddress address, CallerScript script, CallerEnd end) {
        List<CompletableFuture<Void>> done = new ArrayList<>();
        for (int i = 0; i < callers; i++) {
            CompletableFuture<Void> sent = new CompletableFuture<>();
            done.add(sent);
            threads.execute(() -> play(address, script, sent, end));
        }
        CompletableFuture.allOf(done.toArray(new CompletableFuture<?>[0]))
                .completeOnTimeout(null, SEND_WAIT.toMillis(), TimeUnit.MILLISECONDS)
                .join();
    }

    /** The process may refuse a caller or close its connection at any time. */
    private void play(
            HostAddress address, CallerScript script, CompletableFuture<Void> sent, CallerEnd end) {
        try {
            Socket socket = new Socket();
            sockets.add(socket);
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.connect(
                    new InetSocketAddress(address.host(), address.port()),
                    (int) SEND_WAIT.toMillis());
            script.send(socket.getOutputStream());
            sent.complete(null);
            end.run(socket);
        } catch (IOException e) {
            sent.complete(null);
        }
    }

    @Override
    public void close() throws IOException {
        threads.shutdownNow();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
