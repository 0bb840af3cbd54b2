package org.wigeonferry.measurements;

import java.time.Duration;
import java.util.Locale;
import org.wigeonferry.decisions.ColdStartRamp;
import org.wigeonferry.stand_ins.VirtualTime;

/**
 * Load offered to an engine that returns cold under full demand, in virtual time.
 *
 * <p>Not thread safe.
 */
final class ColdStartExperiment {
    private static final int WARM_CAPACITY = 64;
    private static final int COLD_CAPACITY = 2;
    private static final Duration FIRST_TOKEN = Duration.ofMillis(200);
    private static final Duration ANSWER = Duration.ofMillis(1500);
    private static final Duration LIMIT = Duration.ofMinutes(10);

    private final VirtualTime time = new VirtualTime();
    private final int answersForOneMore;
    private final ColdStartRamp ramp;
    private int inFlight;
    private int answers;
    private double worstShare;
    private double fullAfterSeconds = -1;

    private ColdStartExperiment(int answersForOneMore, int answersPerRise) {
        this.answersForOneMore = answersForOneMore;
        this.ramp =
                new ColdStartRamp(
                        WARM_CAPACITY,
                        answersPerRise,
                        Duration.ofMillis(1500),
                        Duration.ofSeconds(10));
    }

    /** Rows of the page. */
    static String rows() {
        StringBuilder rows = new StringBuilder();
        for (int answersPerRise : new int[] {1, 4, 12}) {
            for (int answersForOneMore : new int[] {1, 3, 6, 12}) {
                rows.append(row(answersForOneMore, answersPerRise));
            }
        }
        return rows.toString();
    }

    private static String row(int answersForOneMore, int answersPerRise) {
        ColdStartExperiment experiment = new ColdStartExperiment(answersForOneMore, answersPerRise);
        experiment.fill();
        experiment.time.run(LIMIT);
        return String.format(
                Locale.ROOT,
                "| %d | one more each %d answers | %.2f | %.0f s |%n",
                answersPerRise,
                answersForOneMore,
                experiment.worstShare,
                experiment.fullAfterSeconds);
    }

    private void fill() {
        long now = time.nanoTime();
        while (inFlight < ramp.currentLimit(now)) {
            inFlight++;
            int bears = Math.min(WARM_CAPACITY, COLD_CAPACITY + answers / answersForOneMore);
            worstShare = Math.max(worstShare, (double) inFlight / bears);
            time.after(
                    FIRST_TOKEN, () -> ramp.onFirstToken(FIRST_TOKEN, inFlight, time.nanoTime()));
            time.after(ANSWER, this::finish);
        }
        if (inFlight == WARM_CAPACITY && fullAfterSeconds < 0) {
            fullAfterSeconds = now / 1e9;
        }
    }

    private void finish() {
        inFlight--;
        answers++;
        fill();
    }
}
