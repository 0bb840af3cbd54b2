package org.wigeonferry.command_line.ingress;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.OptionalInt;
import java.util.concurrent.locks.LockSupport;
import org.wigeonferry.core_types.HostAddress;

/**
 * Sends one request at a time, each on a connection of its own.
 *
 * <p>Stateless and thread safe.
 */
final class OrdinaryCaller {
    /** Ends the wait for a process that hangs; no bound on how fast it answers. */
    private static final Duration HANG = Duration.ofSeconds(60);

    private static final Duration RESPONSE_WAIT = Duration.ofSeconds(15);
    private static final Duration PAUSE = Duration.ofMillis(200);

    private OrdinaryCaller() {}

    /** Sends a request, again if it gets another status or none, until it gets this one. */
    static void awaitStatus(
            HostAddress address, String request, int status, ProcessUnderTest process) {
        long endNanos = System.nanoTime() + HANG.toNanos();
        OptionalInt last = status(address, request);
        while (last.orElse(0) != status && System.nanoTime() < endNanos && process.isAlive()) {
            LockSupport.parkNanos(PAUSE.toNanos());
            last = status(address, request);
        }
        assertThat(last).as("ordinary request to " + address).hasValue(status);
    }

    /** Status of the response; empty if there is none. */
    static OptionalInt status(HostAddress address, String request) {
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(address.host(), address.port()),
                    (int) RESPONSE_WAIT.toMillis());
            socket.setSoTimeout((int) RESPONSE_WAIT.toMillis());
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            byte[] line = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
            String text = new String(line, StandardCharsets.ISO_8859_1);
            return text.startsWith("HTTP/1.1 ")
                    ? OptionalInt.of(Integer.parseInt(text.substring("HTTP/1.1 ".length())))
                    : OptionalInt.empty();
        } catch (IOException e) {
            return OptionalInt.empty();
        }
    }
}
