package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Replays application servers whose hosts are slow for about 600 ms at a time, before 28 routers
 * that each send two requests a second: without what the others received, a router learns of a slow
 * period when it is over.
 */
class SlowHostsPlacementTest {
    private static final long START_NANOS = Fixtures.NANOS_PER_SECOND;
    private static final long END_NANOS = 121 * Fixtures.NANOS_PER_SECOND;
    private static final double SLOW_SHARE = 0.15;
    private static final Duration SLOW_LENGTH = Duration.ofMillis(600);
    private static final ReplayTraffic CALLS =
            new ReplayTraffic("calls", "book", 56, 21_000_000, 0, 0, 0);

    /** Latency objective of the calls. */
    private static final double OBJECTIVE_MILLIS = 149;

    private static List<ReplayedRequest> play(boolean withPace, boolean forwarding) {
        Random random = new Random(31);
        List<ReplayUpstream> servers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            ReplayUpstream server =
                    new ReplayUpstream("d" + i, "desk", FleetReplay.ZONES.get(i), 6, 6, 1);
            server.addSlowPeriods(random, SLOW_LENGTH, SLOW_SHARE, START_NANOS, END_NANOS);
            servers.add(server);
        }
        FleetReplay fleet = new FleetReplay(withPace, forwarding, servers, START_NANOS);
        fleet.addTraffic(CALLS, random, START_NANOS, END_NANOS);
        fleet.run(END_NANOS);
        return fleet.requests();
    }

    private static double slowShare(List<ReplayedRequest> requests) {
        return requests.stream().filter(ReplayedRequest::slow).count() / (double) requests.size();
    }

    @Test
    void forwardedReportsKeepRequestsFromSlowHosts() {
        double share = slowShare(play(true, true));
        assertThat(share).isLessThan(SLOW_SHARE / 2);
        assertThat(share).isLessThan(slowShare(play(true, false)));
    }

    @Test
    void callsMeetTheirObjective() {
        List<ReplayedRequest> requests = play(true, true);
        assertThat(requests).allSatisfy(r -> assertThat(r.send()).isPresent());
        long late = requests.stream().filter(r -> r.firstByteMillis() > OBJECTIVE_MILLIS).count();
        assertThat(late).isLessThanOrEqualTo(requests.size() / 100);
    }

    /** A prediction that is off by more than a quarter at the median is of no use to admission. */
    @Test
    void predictedTimeIsWithinAQuarterAtTheMedian() {
        double[] errors =
                play(true, true).stream()
                        .flatMap(r -> r.ratio().stream())
                        .mapToDouble(ratio -> Math.abs(ratio - 1))
                        .sorted()
                        .toArray();
        assertThat(errors[errors.length / 2]).isLessThan(0.25);
    }
}
