package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against the completion of a release that fails a part of its requests, because the answers
 * were few, or because requests that fail on any release hid it.
 */
class WeaklyBadReleaseCompletedTest {
    private static final int ROLL_OUTS = 1000;
    private static final int MIN_GOOD_ANSWERS = 8;
    private static final int NEW_ANSWERS = 60;
    private static final int OLD_ANSWERS = 240;

    /** Share of requests that may not be repeated. */
    private static final double UNSAFE_SHARE = 0.65;

    /** Shares of requests that fail on any release. */
    private static final Map<RequestKind, Double> USUAL_FAILURES =
            Map.of(RequestKind.UNSAFE, 0.004, RequestKind.SAFE, 0.14);

    private final Random random = new Random(34);

    private ReleaseEvidence answers(int count, double addedFailures) {
        Map<RequestKind, AnswerCounts> counts = new EnumMap<>(RequestKind.class);
        for (int i = 0; i < count; i++) {
            RequestKind kind =
                    random.nextDouble() < UNSAFE_SHARE ? RequestKind.UNSAFE : RequestKind.SAFE;
            boolean fails =
                    random.nextDouble() < USUAL_FAILURES.get(kind)
                            || random.nextDouble() < addedFailures;
            counts.merge(kind, new AnswerCounts(fails ? 0 : 1, fails ? 1 : 0), AnswerCounts::plus);
        }
        AnswerCounts all = counts.values().stream().reduce(AnswerCounts.NONE, AnswerCounts::plus);
        return new ReleaseEvidence(count, all.good(), all.bad(), 0, 0, 0, 0, counts);
    }

    private double completedShare(double addedFailures) {
        int completed = 0;
        for (int i = 0; i < ROLL_OUTS; i++) {
            RollOutEvidence evidence =
                    new RollOutEvidence(
                            1, answers(NEW_ANSWERS, addedFailures), answers(OLD_ANSWERS, 0));
            completed += RollOutCriteria.mayComplete(evidence, MIN_GOOD_ANSWERS) ? 1 : 0;
        }
        return (double) completed / ROLL_OUTS;
    }

    /** The error rate is one in ten for a release that fails a tenth of its requests. */
    @ParameterizedTest
    @CsvSource({"0.1, 0.1", "0.12, 0.1", "0.2, 0.01", "0.5, 0"})
    void badReleaseIsSeldomCompleted(double addedFailures, double maxCompletedShare) {
        assertThat(completedShare(addedFailures)).isLessThanOrEqualTo(maxCompletedShare);
    }

    @Test
    void goodReleaseIsMostlyCompleted() {
        assertThat(completedShare(0)).isGreaterThan(0.8);
    }

    /** A release is not shown to be good by a few answers without a failure. */
    @Test
    void fewAnswersCompleteNoRelease() {
        ReleaseEvidence fresh = new ReleaseEvidence(12, 12, 0, 0, 0, 0, 0);
        ReleaseEvidence old = new ReleaseEvidence(240, 200, 40, 0, 0, 0, 0);
        assertThat(RollOutCriteria.mayComplete(new RollOutEvidence(1, fresh, old), 8)).isFalse();
    }
}
