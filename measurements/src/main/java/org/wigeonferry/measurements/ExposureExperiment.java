package org.wigeonferry.measurements;

import java.util.List;
import java.util.Locale;
import java.util.Random;
import org.wigeonferry.decisions.RollOutDecision;
import org.wigeonferry.decisions.RollOutGate;
import org.wigeonferry.decisions.RollOutGates;
import org.wigeonferry.decisions.VersionEvidence;

/**
 * Requests that meet a bad version before it is pulled back, and good versions pulled back.
 *
 * <p>Not thread safe.
 */
final class ExposureExperiment {
    private static final int RUNS = 300;
    private static final int MAX_REQUESTS = 20_000;
    private static final int LOOK_EVERY = 80;
    private static final int SAMPLES = 50;
    private static final double GOOD_RATING = 0.7;
    private static final double DEVIATION = 0.15;
    private static final double GOOD_ERRORS = 0.005;
    private static final List<Integer> STEPS = List.of(1, 5, 25, 50, 100);

    private ExposureExperiment() {}

    /** Rows of the page. */
    static String rows() {
        RollOutGate evidence = RollOutGates.evidenceBased(SAMPLES, 0.03, 0.02);
        RollOutGate fixed = RollOutGates.sampleCountBased(SAMPLES);
        RollOutGate none = (candidate, baseline) -> RollOutDecision.ADVANCE;
        StringBuilder rows = new StringBuilder();
        for (VersionFault fault :
                List.of(
                        new VersionFault("good, equal", 0, 0),
                        new VersionFault("rating 0.05 lower", 0.05, 0),
                        new VersionFault("rating 0.2 lower", 0.2, 0),
                        new VersionFault("rating 0.5 lower", 0.5, 0),
                        new VersionFault("one in five fails", 0, 0.2))) {
            rows.append(row(fault, "evidence (in use)", evidence));
            rows.append(row(fault, "fixed steps", fixed));
            rows.append(row(fault, "no gate", none));
        }
        return rows.toString();
    }

    private static String row(VersionFault fault, String name, RollOutGate gate) {
        Random random = new Random(20_261_204);
        long exposed = 0;
        int pulled = 0;
        int most = 0;
        for (int run = 0; run < RUNS; run++) {
            ExposureRun result = run(fault, gate, random);
            exposed += result.exposed();
            most = Math.max(most, result.exposed());
            pulled += result.pulledBack() ? 1 : 0;
        }
        return String.format(
                Locale.ROOT,
                "| %s | %s | %.0f | %d | %.1f%% |%n",
                fault.name(),
                name,
                (double) exposed / RUNS,
                most,
                100.0 * pulled / RUNS);
    }

    private static ExposureRun run(VersionFault fault, RollOutGate gate, Random random) {
        VersionEvidence candidate = VersionEvidence.NONE;
        VersionEvidence baseline = VersionEvidence.NONE;
        VersionEvidence stepStart = VersionEvidence.NONE;
        int step = 0;
        int exposed = 0;
        for (int i = 1; i <= MAX_REQUESTS; i++) {
            boolean exposedNow = random.nextInt(100) < STEPS.get(step);
            if (exposedNow) {
                exposed++;
                candidate = candidate.plus(answer(fault, random));
            } else {
                baseline = baseline.plus(answer(VersionFault.NONE, random));
            }
            if (i % LOOK_EVERY != 0) {
                continue;
            }
            RollOutDecision decision = gate.decide(candidate.minus(stepStart), baseline);
            if (decision == RollOutDecision.PULL_BACK) {
                return new ExposureRun(exposed, true);
            }
            if (decision == RollOutDecision.ADVANCE && step < STEPS.size() - 1) {
                step++;
                stepStart = candidate;
            }
        }
        return new ExposureRun(exposed, false);
    }

    private static VersionEvidence answer(VersionFault fault, Random random) {
        if (random.nextDouble() < GOOD_ERRORS + fault.errorShare()) {
            return new VersionEvidence(0, 1, 0, 0);
        }
        double rating = GOOD_RATING - fault.ratingLoss() + DEVIATION * random.nextGaussian();
        return new VersionEvidence(1, 0, 1, Math.max(0, Math.min(1, rating)));
    }
}
