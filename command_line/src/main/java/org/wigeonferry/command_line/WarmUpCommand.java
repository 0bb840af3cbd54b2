package org.wigeonferry.command_line;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.node_runtime.LoggingSetup;
import org.wigeonferry.platform.WarmUpFixture;
import org.wigeonferry.stand_ins.ScriptedUpstream;
import org.wigeonferry.stand_ins.StoreStandIn;

/**
 * Runs a router before stand-ins, has it serve a few requests and stops it.
 *
 * <p>The build runs it to write an archive of the classes that a router loads from its start to its
 * stop. Ends the process. Stateless and thread safe.
 */
final class WarmUpCommand {
    private static final String LOOPBACK = "127.0.0.1";
    private static final int LISTENING_PORTS = 4;

    /** Time in which timers load their classes. */
    private static final Duration TIMERS = Duration.ofMillis(1200);

    private static final int TRIES = 100;
    private static final Duration BETWEEN_TRIES = Duration.ofMillis(50);

    private WarmUpCommand() {}

    static Command run() {
        return arguments -> {
            try {
                return rehearsed();
            } catch (IOException e) {
                throw new StepException("warm up", LOOPBACK, e);
            }
        };
    }

    private static int rehearsed() throws StepException, IOException {
        LoggingSetup.logToStderr(false);
        StoreStandIn store = new StoreStandIn();
        ScriptedUpstream upstream = new ScriptedUpstream(WarmUpCommand::answer);
        WarmUpFixture.putRows(store::put, new HostAddress(LOOPBACK, upstream.port()));
        List<Integer> ports = freePorts(LISTENING_PORTS);
        int callers = ports.get(0);
        int ready = ports.get(1);
        Path settings = settings(ports, store.address());
        CompletableFuture.runAsync(() -> rehearse(callers, ready));
        return DaemonCommands.router().run(new String[] {"--config", settings.toString()});
    }

    private static void answer(String head, Socket socket) throws IOException {
        socket.getOutputStream()
                .write(WarmUpFixture.upstreamAnswer(head).getBytes(StandardCharsets.UTF_8));
    }

    /** Ends the process: with a failure if a request was not served. */
    private static void rehearse(int callers, int ready) {
        int failures = 0;
        try {
            awaitReady(ready);
            for (String request : WarmUpFixture.callerRequests()) {
                boolean served = ask(callers, request).contains(" 200 ");
                failures += served ? 0 : 1;
            }
            pause(TIMERS);
        } catch (IOException e) {
            System.err.println("warm-up failed: " + e);
            failures++;
        }
        System.exit(failures == 0 ? ExitCodes.OK : ExitCodes.FAILED);
    }

    private static void awaitReady(int port) throws IOException {
        for (int i = 0; i < TRIES; i++) {
            pause(BETWEEN_TRIES);
            try {
                if (ask(port, WarmUpFixture.readinessRequest()).contains(" 200 ")) {
                    return;
                }
            } catch (IOException e) {
                if (i == TRIES - 1) {
                    throw e;
                }
            }
        }
        throw new IOException("router not ready");
    }

    private static String ask(int port, String request) throws IOException {
        try (Socket socket = new Socket(LOOPBACK, port)) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static void pause(Duration time) {
        new CompletableFuture<Void>()
                .completeOnTimeout(null, time.toMillis(), TimeUnit.MILLISECONDS)
                .join();
    }

    /**
     * Writes the settings of the router.
     *
     * @param ports where it listens: for callers, readiness, metrics and peers
     */
    private static Path settings(List<Integer> ports, HostAddress store) throws IOException {
        String text =
                String.format(
                        "[node]%nname=warm-up%navailability-zone=z%n"
                                + "[listen]%ncallers=127.0.0.1:%d%nready=127.0.0.1:%d%n"
                                + "metrics=127.0.0.1:%d%npeers=127.0.0.1:%d%n[store]%naddress=%s%n"
                                + "[limits]%nretry-extra=50%n",
                        ports.get(0), ports.get(1), ports.get(2), ports.get(3), store);
        Path file = Files.createTempFile("warm-up", ".ini");
        file.toFile().deleteOnExit();
        return Files.writeString(file, text);
    }

    /** Ports that differ, as all are taken before one is given back. */
    private static List<Integer> freePorts(int count) throws StepException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            }
            List<Integer> ports = sockets.stream().map(ServerSocket::getLocalPort).toList();
            for (ServerSocket socket : sockets) {
                socket.close();
            }
            return ports;
        } catch (IOException e) {
            throw new StepException("find free ports", LOOPBACK, e);
        }
    }
}
