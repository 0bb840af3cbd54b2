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
    private final ColdStartRamp ramp =
            new ColdStartRamp(WARM_CAPACITY, Duration.ofMillis(1500), Duration.ofSeconds(10));
    private int inFlight;
    private int answers;
    private double worstShare;
    private double fullAfterSeconds = -1;

    private ColdStartExperiment(int answersForOneMore) {
        this.answersForOneMore = answersForOneMore;
    }

    /** Rows of the page. */
    static String rows() {
        StringBuilder rows = new StringBuilder();
        for (int answersForOneMore : new int[] {1, 3, 6, 12}) {
            ColdStartExperiment experiment = new ColdStartExperiment(answersForOneMore);
            experiment.fill();
            experiment.time.run(LIMIT);
            rows.append(
                    String.format(
                            Locale.ROOT,
                            "| one more each %d answers | %.2f | %s |%n",
                            answersForOneMore,
                            experiment.worstShare,
                            experiment.fullAfterSeconds < 0
                                    ? "not within 600 s"
                                    : String.format(
                                            Locale.ROOT, "%.0f s", experiment.fullAfterSeconds)));
        }
        return rows.toString();
    }

    private void fill() {
        long now = time.nanoTime();
        while (inFlight < ramp.limit(now)) {
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
