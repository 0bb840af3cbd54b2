package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.DatagramSocket;
import java.net.InetAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.messages.CodecException;
import org.wigeonferry.routing.Admitted;
import org.wigeonferry.routing.Job;
import org.wigeonferry.routing.OwnLoad;
import org.wigeonferry.routing.PromptPart;
import org.wigeonferry.routing.RoutedRequest;
import org.wigeonferry.routing.RoutingState;
import org.wigeonferry.routing.Send;
import org.wigeonferry.routing.SendOutcome;
import org.wigeonferry.routing.SendReport;
import org.wigeonferry.routing.SentPrompt;
import org.wigeonferry.routing.waiting.QueueLimits;
import org.wigeonferry.stand_ins.VirtualControl;
import org.wigeonferry.stand_ins.VirtualTime;

class LoadExchangeTest {
    private static final HostAddress PEER = new HostAddress("127.0.0.1", 1);

    private final VirtualTime time = new VirtualTime();
    private final List<byte[]> sent = new ArrayList<>();
    private final RoutingState state = RoutingStates.empty();
    private final LoadExchange exchange =
            new LoadExchange(
                    "router",
                    new VirtualControl(time),
                    state,
                    5,
                    () -> List.of(PEER),
                    (peer, datagram) -> sent.add(datagram));

    @Test
    void idleRouterSendsNothing() {
        exchange.start();
        time.run(Duration.ofSeconds(5));
        assertThat(sent).isEmpty();
    }

    /** Where routers divide the room at upstreams, one that is idle differs from one cut off. */
    @Test
    void idleRouterShowsThatItIsReachedWhereRequestsWaitForRoom() throws Exception {
        state.loadAdmission().enable(QueueLimits.withBytes(1 << 20));
        exchange.start();
        time.run(Duration.ofSeconds(5));
        assertThat(sent).hasSizeGreaterThan(5);
        assertThat(LoadReportMessages.decode(sent.get(0)).loads()).isEmpty();
    }

    /** Anyone may send a datagram; one that is no report must change nothing. */
    @Test
    void datagramThatIsNoReportIsIgnored() {
        Random random = new Random(11);
        for (int i = 0; i < 2000; i++) {
            byte[] datagram = new byte[random.nextInt(200)];
            random.nextBytes(datagram);
            exchange.onDatagram(datagram);
        }
        time.run(Duration.ofSeconds(1));
        assertThat(sent).isEmpty();
    }

    @Test
    void reportRoundTrips() throws Exception {
        LoadReport report =
                new LoadReport(
                        "r",
                        7,
                        List.of(new OwnLoad(-3, 4000, 2, 9000)),
                        List.of(new SentPrompt(-3, "large", List.of(new PromptPart("5c1e", 800)))),
                        List.of(-3, 9));
        assertThat(LoadReportMessages.decode(LoadReportMessages.encode(report))).isEqualTo(report);
    }

    /** A caller may send prompt parts of any length; the loads have to get through all the same. */
    @Test
    void promptsThatDoNotFitAreLeftOut() throws Exception {
        state.updateConfig(RouterControlTest.config());
        state.freshness().recordConfirmation(time.nanoTime(), 0);
        state.upstreams().put(RouterControlTest.upstream(), time.nanoTime());
        exchange.start();
        for (int i = 0; i < 10; i++) {
            Job job = ((Admitted) state.admit(longPrompt(i), time.nanoTime(), 0)).job();
            assertThat(state.routeJob(job, "", time.nanoTime(), 0)).isInstanceOf(Send.class);
        }
        time.run(Duration.ofMillis(300));
        assertThat(sent).isNotEmpty();
        assertThat(sent.get(0).length).isLessThan(DatagramSocketPair.MAX_DATAGRAM_BYTES);
        LoadReport report = LoadReportMessages.decode(sent.get(0));
        assertThat(report.prompts()).isEmpty();
        assertThat(report.loads().get(0).runningSends()).isEqualTo(10);
    }

    private static RoutedRequest longPrompt(int number) {
        return new RoutedRequest(
                "id" + number,
                "example",
                "/desk/x",
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.of("model"),
                List.of(new PromptPart("x".repeat(2000), 10)),
                10,
                0,
                Optional.empty());
    }

    @Test
    void upstreamThatRefusesConnectionsIsReportedOnce() throws Exception {
        state.updateConfig(RouterControlTest.config());
        state.freshness().recordConfirmation(time.nanoTime(), 0);
        state.upstreams().put(RouterControlTest.upstream(), time.nanoTime());
        exchange.start();
        Job job = ((Admitted) state.admit(longPrompt(0), time.nanoTime(), 0)).job();
        Send send = (Send) state.routeJob(job, "", time.nanoTime(), 0);
        state.onSendEnd(
                job,
                "",
                new SendReport(
                        send, SendOutcome.NOT_SENT, false, Optional.empty(), Optional.empty()),
                time.nanoTime());
        time.run(Duration.ofSeconds(2));
        List<Integer> lost = new ArrayList<>();
        for (byte[] datagram : sent) {
            lost.addAll(LoadReportMessages.decode(datagram).lostUpstreams());
        }
        assertThat(lost).hasSize(1);
    }

    @Test
    void numbersOutOfRangeAreNoReport() throws Exception {
        for (OwnLoad odd :
                List.of(
                        new OwnLoad(1, -1, 1, 0),
                        new OwnLoad(1, Integer.MAX_VALUE, 1, 0),
                        new OwnLoad(1, 1, Integer.MAX_VALUE, 0),
                        new OwnLoad(1, 1, 1, -1))) {
            byte[] datagram =
                    LoadReportMessages.encode(
                            new LoadReport("r", 7, List.of(odd), List.of(), List.of()));
            assertThatThrownBy(() -> LoadReportMessages.decode(datagram))
                    .isInstanceOf(CodecException.class);
        }
    }

    @Test
    void datagramsArriveUntilTheSocketsAreClosed() throws Exception {
        BlockingQueue<byte[]> received = new LinkedBlockingQueue<>();
        HostAddress address = new HostAddress("127.0.0.1", freePort());
        try (DatagramSocketPair sockets = new DatagramSocketPair(address)) {
            sockets.receive(received::add);
            sockets.send(address, new byte[] {1, 2, 3});
            assertThat(received.poll(5, TimeUnit.SECONDS)).containsExactly(1, 2, 3);
        }
    }

    private static int freePort() throws Exception {
        try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
