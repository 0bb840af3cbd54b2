package org.wigeonferry.command_line;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.node_runtime.LoggingSetup;
import org.wigeonferry.platform.PlatformKeys;
import org.wigeonferry.platform.PlatformRouter;
import org.wigeonferry.settings.Settings;
import org.wigeonferry.settings.SettingsReader;

/**
 * Starts a router without a store, asks it once and ends.
 *
 * <p>The build runs it to write an archive of the classes that a start loads. Stateless and thread
 * safe.
 */
final class WarmUpCommand {
    /** Time in which timers and first failures of the store load their classes. */
    private static final Duration RUN = Duration.ofMillis(1500);

    private WarmUpCommand() {}

    static Command run() {
        return arguments -> {
            LongSupplier dropped = LoggingSetup.structured();
            int callers = freePort();
            Settings settings = SettingsReader.parse("warm-up", text(callers), PlatformKeys.all());
            PlatformRouter router = new PlatformRouter(settings, dropped);
            ask(callers);
            new CompletableFuture<Void>()
                    .completeOnTimeout(null, RUN.toMillis(), TimeUnit.MILLISECONDS)
                    .join();
            router.stop();
            return ExitCodes.OK;
        };
    }

    private static String text(int callers) throws StepException {
        return String.format(
                "[node]%nname=warm-up%navailability-zone=none%n"
                        + "[listen]%ncallers=127.0.0.1:%d%nready=127.0.0.1:%d%nmetrics=127.0.0.1:%d%n"
                        + "[store]%naddress=127.0.0.1:%d%n",
                callers, freePort(), freePort(), freePort());
    }

    private static void ask(int port) throws StepException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/"))
                        .POST(HttpRequest.BodyPublishers.ofString("{}"))
                        .build();
        try {
            HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new StepException("ask", "127.0.0.1:" + port, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static int freePort() throws StepException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new StepException("find a free port", "127.0.0.1", e);
        }
    }
}
