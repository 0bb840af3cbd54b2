package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.routing.Admitted;
import org.wigeonferry.routing.Incarnation;
import org.wigeonferry.routing.Job;
import org.wigeonferry.routing.RequestKind;
import org.wigeonferry.routing.RollOut;
import org.wigeonferry.routing.Route;
import org.wigeonferry.routing.RoutedRequest;
import org.wigeonferry.routing.RoutingConfig;
import org.wigeonferry.routing.RoutingState;
import org.wigeonferry.routing.Send;
import org.wigeonferry.routing.SendOutcome;
import org.wigeonferry.routing.SendReport;
import org.wigeonferry.routing.ServiceTraits;
import org.wigeonferry.routing.UpstreamInstance;
import org.wigeonferry.routing.WeightedService;
import org.wigeonferry.stand_ins.VirtualControl;
import org.wigeonferry.stand_ins.VirtualTime;

class RouterControlTest {
    private static final String UPSTREAM_ID = "a";

    private final VirtualTime time = new VirtualTime();
    private final VirtualControl control = new VirtualControl(time);
    private final List<RouterReport> published = new ArrayList<>();
    private RouterControl router;

    @BeforeEach
    void start() {
        RoutingState state = RoutingStates.empty();
        router =
                new RouterControl(
                        "router",
                        control,
                        state,
                        Optional.empty(),
                        new StoreReporters(
                                published::add,
                                (order, next, known) -> {},
                                (order, known, now) -> {}));
        router.start();
        router.onConfiguration(config());
        router.rollOuts().onAllStatusesRead();
        router.onAllRouterReportsRead();
    }

    @Test
    void upstreamRemovedJustAfterTheStartIsDroppedAtOnce() {
        router.onStoreAnswered();
        router.onUpstream(upstream());
        time.run(Duration.ofMillis(400));
        router.onUpstreamRemoved(UPSTREAM_ID);
        assertThat(router.state().upstreams().upstream(UPSTREAM_ID)).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {1900, 3900})
    void upstreamRemovedAfterALostConnectionIsDroppedAtOnce(long connectedMillis) {
        router.onStoreAnswered();
        router.onUpstream(upstream());
        time.run(Duration.ofMillis(connectedMillis));
        router.onStoreNotAnswering(control.nanoTime());
        time.run(Duration.ofMillis(80));
        router.onStoreAnswered();
        router.onUpstreamRemoved(UPSTREAM_ID);
        assertThat(router.state().upstreams().upstream(UPSTREAM_ID)).isEmpty();
    }

    @Test
    void timedOutCallCountsAsAnOutageSinceItWasSent() {
        router.onStoreAnswered();
        router.onUpstream(upstream());
        long sentNanos = control.nanoTime();
        time.run(Duration.ofMillis(4200));
        router.onStoreNotAnswering(sentNanos);
        time.run(Duration.ofMillis(80));
        router.onStoreAnswered();
        router.onUpstreamRemoved(UPSTREAM_ID);
        assertThat(router.state().upstreams().upstream(UPSTREAM_ID)).isPresent();
    }

    @Test
    void upstreamWhoseRowExpiredInAnOutageIsKeptForTheRemovalDelay() {
        router.onStoreAnswered();
        router.onUpstream(upstream());
        router.onStoreNotAnswering(control.nanoTime());
        time.run(Duration.ofSeconds(4));
        router.onStoreAnswered();
        router.onUpstreamRemoved(UPSTREAM_ID);
        time.run(RoutingStates.REMOVAL_DELAY.minusMillis(600));
        assertThat(router.state().upstreams().upstream(UPSTREAM_ID)).isPresent();
        time.run(Duration.ofMillis(1200));
        assertThat(router.state().upstreams().upstream(UPSTREAM_ID)).isEmpty();
    }

    @Test
    void firstReportIsPublishedAtOnceAndUnchangedOnesRarely() {
        router.onStoreAnswered();
        time.run(Duration.ofMillis(600));
        assertThat(published).hasSize(1);
        time.run(Duration.ofSeconds(60));
        assertThat(published).hasSizeBetween(8, 11);
    }

    @Test
    void failureOfANewReleaseIsPublishedWithinASecond() {
        router.onStoreAnswered();
        router.onUpstream(upstream());
        router.rollOuts().onOrdered(new RollOut("desk", "r1", Duration.ofSeconds(60), 7, 0));
        time.run(Duration.ofMillis(2100));
        for (int i = 1; i <= 3; i++) {
            int before = published.size();
            placeRequestAndFail();
            time.run(Duration.ofSeconds(1));
            assertThat(published).hasSize(before + 1);
            assertThat(published.get(before).evidence().get("desk").fresh().bad()).isEqualTo(i);
        }
    }

    @Test
    void rollOutWithoutNewEvidenceNeedsFewReports() {
        router.onStoreAnswered();
        router.rollOuts().onOrdered(new RollOut("desk", "r1", Duration.ofSeconds(60), 7, 0));
        time.run(Duration.ofSeconds(60));
        assertThat(published).hasSizeBetween(8, 12);
    }

    /** Places a request on the release that is being rolled out, which fails; nothing is sent. */
    private void placeRequestAndFail() {
        long nowNanos = control.nanoTime();
        long wallMillis = nowNanos / 1_000_000;
        router.onConfigurationConfirmed(nowNanos, wallMillis);
        Job job = ((Admitted) router.state().admit(request(), nowNanos, wallMillis)).job();
        Send send = (Send) router.state().routeJob(job, "", nowNanos, wallMillis);
        SendReport report =
                new SendReport(send, SendOutcome.FAILED, true, Optional.empty(), Optional.empty());
        router.state().onSendEnd(job, "", report, nowNanos);
    }

    private static RoutedRequest request() {
        return new RoutedRequest(
                "id",
                "example",
                "/desk/x",
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                List.of(),
                0,
                0,
                Optional.empty());
    }

    static RoutingConfig config() {
        return RoutingConfig.builder(1)
                .addService(new ServiceTraits("desk", 10, Duration.ZERO, 0, Optional.empty()))
                .addRoute(
                        new Route(
                                "desk",
                                "example",
                                "/desk/",
                                RequestKind.SAFE,
                                Duration.ofSeconds(5),
                                Duration.ofSeconds(1),
                                Duration.ofSeconds(1),
                                2,
                                0,
                                true,
                                List.of(),
                                List.of(new WeightedService("desk", 1))))
                .build();
    }

    static UpstreamInstance upstream() {
        return new UpstreamInstance(
                new Incarnation(UPSTREAM_ID, 1),
                new HostAddress("127.0.0.1", 1),
                "desk",
                "zone",
                "r1",
                4,
                false,
                Duration.ZERO);
    }
}
