package org.wigeonferry.measurements;

import java.util.List;
import java.util.Random;

/**
 * The mixes of docs/MEASUREMENTS.md.
 *
 * <p>Stateless and thread safe.
 */
final class CostMixes {
    /** Cost of a token of each version, cheapest first. */
    static final long[] COSTS = {1, 3, 10};

    private static final double[] SKILLS = {0.6, 0.75, 0.9};
    private static final double SPREAD = 0.5;
    private static final double NOISE = 0.05;
    private static final int DRIFT_PERIOD = 10_000;

    private CostMixes() {}

    /** Requests as hard as easy. */
    static CostMix even() {
        return (number, random) -> rate(random.nextDouble(), SKILLS, random);
    }

    /** Four of five requests are hard. */
    static CostMix hard() {
        return (number, random) -> {
            boolean hard = random.nextInt(5) > 0;
            double difficulty = hard ? 0.6 + 0.4 * random.nextDouble() : 0.6 * random.nextDouble();
            return rate(difficulty, SKILLS, random);
        };
    }

    /** The cheapest version loses a third of its skill half-way and gets it back. */
    static CostMix drifting() {
        return (number, random) -> {
            boolean bad = number / DRIFT_PERIOD % 2 == 1;
            double[] skills = SKILLS.clone();
            skills[0] = bad ? 0.4 : 0.6;
            return rate(random.nextDouble(), skills, random);
        };
    }

    static List<String> names() {
        return List.of("even", "hard", "drifting");
    }

    static CostMix named(String name) {
        return switch (name) {
            case "even" -> even();
            case "hard" -> hard();
            default -> drifting();
        };
    }

    private static double[] rate(double difficulty, double[] skills, Random random) {
        double[] ratings = new double[skills.length];
        for (int i = 0; i < skills.length; i++) {
            double rating = skills[i] + (0.5 - difficulty) * SPREAD + NOISE * random.nextGaussian();
            ratings[i] = Math.max(0, Math.min(1, rating));
        }
        return ratings;
    }
}
