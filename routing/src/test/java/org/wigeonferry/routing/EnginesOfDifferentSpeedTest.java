package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Replays long prompts in bursts before engines of relative time 0.6, 1.0 and 1.6, first with all
 * zones, then while the engines of one zone come back cold.
 */
class EnginesOfDifferentSpeedTest {
    private static final long SECOND = Fixtures.NANOS_PER_SECOND;
    private static final long START_NANOS = SECOND;
    private static final long END_NANOS = 41 * SECOND;
    private static final int ENGINES = 36;
    private static final int LANES = 1;
    private static final int SLOTS = 48;
    private static final double[] RELATIVE_TIMES = {0.6, 1.0, 1.6};
    private static final double NANOS_PER_TOKEN = 1e6 / 68;
    private static final long STEP_NANOS = 3_800_000;
    private static final double BURST = 1.7;
    private static final long BURST_PERIOD = 8 * SECOND;
    private static final long BURST_LENGTH = 2 * SECOND;

    private static List<ReplayTraffic> traffic(double factor) {
        return List.of(
                traffic("long", 37 * factor, 12_000, 5_382),
                traffic("medium", 74 * factor, 830, 0),
                traffic("short", 59 * factor, 2_400, 0));
    }

    private static ReplayTraffic traffic(String name, double rate, int tokens, int shared) {
        return new ReplayTraffic(name, "chat", rate, STEP_NANOS, NANOS_PER_TOKEN, tokens, shared);
    }

    private static FleetReplay play(boolean withPace, boolean coldZone) {
        Random random = new Random(47);
        List<ReplayUpstream> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            String zone = FleetReplay.ZONES.get(i % FleetReplay.ZONES.size());
            double time = RELATIVE_TIMES[i / FleetReplay.ZONES.size() % RELATIVE_TIMES.length];
            engines.add(new ReplayUpstream("e" + i, "model", zone, LANES, SLOTS, time));
        }
        FleetReplay fleet = new FleetReplay(withPace, true, engines, START_NANOS);
        for (long from = START_NANOS; from < END_NANOS; from += BURST_PERIOD) {
            for (ReplayTraffic kind : traffic(BURST)) {
                fleet.addTraffic(kind, random, from, from + BURST_LENGTH);
            }
            for (ReplayTraffic kind : traffic(1)) {
                fleet.addTraffic(kind, random, from + BURST_LENGTH, from + BURST_PERIOD);
            }
        }
        if (coldZone) {
            fleet.run(START_NANOS + BURST_PERIOD);
            fleet.restartZoneCold(FleetReplay.ZONES.get(0));
        }
        fleet.run(END_NANOS);
        return fleet;
    }

    private static double[] millis(FleetReplay fleet, String traffic) {
        return fleet.requests().stream()
                .filter(r -> r.traffic().equals(traffic))
                .mapToDouble(ReplayedRequest::firstByteMillis)
                .sorted()
                .toArray();
    }

    private static double mean(FleetReplay fleet, String traffic) {
        double[] millis = millis(fleet, traffic);
        double sum = 0;
        for (double value : millis) {
            sum += value;
        }
        return sum / millis.length;
    }

    @Test
    void firstTokensComeSoonerThanByThePresentCost() {
        FleetReplay predicted = play(true, false);
        FleetReplay byCost = play(false, false);
        assertThat(mean(predicted, "long")).isLessThan(mean(byCost, "long"));
        assertThat(mean(predicted, "medium")).isLessThan(mean(byCost, "medium"));
        assertThat(mean(predicted, "short")).isLessThan(mean(byCost, "short"));
    }

    @Test
    void firstTokensComeSoonerWhileAZoneIsCold() {
        FleetReplay predicted = play(true, true);
        FleetReplay byCost = play(false, true);
        assertThat(mean(predicted, "long")).isLessThan(mean(byCost, "long"));
        assertThat(mean(predicted, "medium")).isLessThan(mean(byCost, "medium"));
        assertThat(mean(predicted, "short")).isLessThan(mean(byCost, "short"));
        assertThat(predicted.requests()).allSatisfy(r -> assertThat(r.send()).isPresent());
    }

    /** The objectives for the first event are 3.0 s for long and 1.5 s for other prompts. */
    @Test
    void firstEventsMeetTheirObjectives() {
        FleetReplay fleet = play(true, true);
        double[] longMillis = millis(fleet, "long");
        double[] mediumMillis = millis(fleet, "medium");
        assertThat(longMillis[longMillis.length * 99 / 100]).isLessThan(3000);
        assertThat(mediumMillis[mediumMillis.length * 99 / 100]).isLessThan(1500);
    }

    /** A prediction that is off by more than a quarter at the median is of no use to admission. */
    @Test
    void predictedTimeIsWithinAQuarterAtTheMedian() {
        double[] errors =
                play(true, true).requests().stream()
                        .flatMap(r -> r.ratio().stream())
                        .mapToDouble(ratio -> Math.abs(ratio - 1))
                        .sorted()
                        .toArray();
        assertThat(errors[errors.length / 2]).isLessThan(0.25);
    }
}
