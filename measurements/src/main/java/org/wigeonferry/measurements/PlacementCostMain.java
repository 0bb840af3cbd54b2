package org.wigeonferry.measurements;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.routing.Admitted;
import org.wigeonferry.routing.EngineTraits;
import org.wigeonferry.routing.Freshness;
import org.wigeonferry.routing.Incarnation;
import org.wigeonferry.routing.Job;
import org.wigeonferry.routing.LiveRouters;
import org.wigeonferry.routing.ModelCascade;
import org.wigeonferry.routing.PromptPart;
import org.wigeonferry.routing.ReportedLoad;
import org.wigeonferry.routing.RequestKind;
import org.wigeonferry.routing.Route;
import org.wigeonferry.routing.RoutedRequest;
import org.wigeonferry.routing.RoutingConfig;
import org.wigeonferry.routing.RoutingLimits;
import org.wigeonferry.routing.RoutingState;
import org.wigeonferry.routing.Send;
import org.wigeonferry.routing.SendOutcome;
import org.wigeonferry.routing.SendReport;
import org.wigeonferry.routing.ServiceTraits;
import org.wigeonferry.routing.UpstreamInstance;
import org.wigeonferry.routing.WeightedService;

/**
 * Measures the processor time of a router's decision on a request at the target size, by predicted
 * time and by the earlier cost.
 *
 * <p>Runs on the main thread.
 */
public final class PlacementCostMain {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final int UPSTREAMS = 1900;
    private static final int ZONES = 11;
    private static final int WARM_UP = 5000;
    private static final int DECISIONS = 5000;
    private static final long GAP_NANOS = 1_000_000;

    private final RoutingState state =
            new RoutingState(
                    "z0",
                    new RoutingLimits(
                            0.5,
                            8,
                            Duration.ofSeconds(10),
                            1,
                            0,
                            0.1,
                            2,
                            0,
                            Duration.ofSeconds(5),
                            Duration.ofSeconds(2)),
                    new Freshness(Duration.ofHours(1), Duration.ofHours(1)),
                    new ModelCascade(50),
                    () -> 0.5,
                    new LiveRouters("own", Set.of(), 1));
    private final OptionalInt pace;
    private long nowNanos = 1_000_000_000L;

    private PlacementCostMain(OptionalInt pace) {
        this.pace = pace;
        state.updateConfig(config());
        state.rollOuts().onStoredRecordRead();
        state.freshness().recordConfirmation(nowNanos, 0);
        for (int i = 0; i < UPSTREAMS; i++) {
            state.upstreams().put(upstream(i), nowNanos);
        }
    }

    /** Prints the median and the 99th percentile in microseconds. */
    public static void main(String[] arguments) {
        System.out.println(
                "by predicted time: " + new PlacementCostMain(OptionalInt.of(100)).run());
        System.out.println("by cost: " + new PlacementCostMain(OptionalInt.empty()).run());
    }

    private String run() {
        long[] nanos = new long[DECISIONS];
        for (int i = 0; i < WARM_UP + DECISIONS; i++) {
            nowNanos += GAP_NANOS;
            long time = place(i);
            if (i >= WARM_UP) {
                nanos[i - WARM_UP] = time;
            }
        }
        Arrays.sort(nanos);
        return "p50 %.1f us, p99 %.1f us, %d upstreams"
                .formatted(
                        nanos[DECISIONS / 2] / 1e3, nanos[DECISIONS * 99 / 100] / 1e3, UPSTREAMS);
    }

    private long place(int number) {
        Job job = ((Admitted) state.admit(request(number), nowNanos, 0)).job();
        long start = THREADS.getCurrentThreadCpuTime();
        Send send = (Send) state.routeJob(job, "", nowNanos, 0);
        long time = THREADS.getCurrentThreadCpuTime() - start;
        ReportedLoad load = new ReportedLoad(1, 0, 8, pace);
        state.onResponseHeaders(send, Optional.of(load), nowNanos + GAP_NANOS);
        SendReport report =
                new SendReport(
                        send, SendOutcome.ANSWERED, true, Optional.empty(), Optional.empty());
        state.onSendEnd(job, "", report, nowNanos + GAP_NANOS);
        return time;
    }

    private static RoutedRequest request(int number) {
        return new RoutedRequest(
                "id" + number,
                "example",
                "/chat/x",
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.of("large"),
                List.of(
                        new PromptPart("system", 400),
                        new PromptPart("shared" + number % 50, 1000),
                        new PromptPart("own" + number, 600)),
                2000,
                100,
                Optional.empty());
    }

    private static UpstreamInstance upstream(int number) {
        return new UpstreamInstance(
                new Incarnation("i-" + number, 1),
                new HostAddress("127.0.0.1", 1000),
                "model",
                "z" + number % ZONES,
                "v1",
                48,
                false,
                Duration.ZERO);
    }

    private static RoutingConfig config() {
        EngineTraits engine = new EngineTraits(48, 500_000, Map.of("small", 0.1, "large", 1.0));
        return RoutingConfig.builder(1)
                .addService(new ServiceTraits("model", 400, Duration.ZERO, 0, Optional.of(engine)))
                .addRoute(
                        new Route(
                                "chat",
                                "example",
                                "/chat/",
                                RequestKind.RESUMABLE_STREAM,
                                Duration.ofSeconds(20),
                                Duration.ofSeconds(2),
                                Duration.ofSeconds(1),
                                2,
                                0,
                                true,
                                List.of("small", "large"),
                                List.of(new WeightedService("model", 1))))
                .build();
    }
}
