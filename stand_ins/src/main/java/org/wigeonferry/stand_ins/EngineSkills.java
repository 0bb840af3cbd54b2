package org.wigeonferry.stand_ins;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Versions of a stand-in engine and how well each answers.
 *
 * <p>Immutable and thread safe.
 */
final class EngineSkills {
    private static final double DIFFICULTY_SPREAD = 0.5;

    private final Map<String, Double> skills = new HashMap<>();

    /** Reads {@code version:skill} pairs, separated by commas. */
    EngineSkills(String text) {
        for (String pair : text.split(",")) {
            String[] parts = pair.strip().split(":");
            skills.put(parts[0], Double.parseDouble(parts[1]));
        }
    }

    Optional<Double> skill(String version) {
        return Optional.ofNullable(skills.get(version));
    }

    /** Quality of an answer; the same prompt is equally hard for every version. */
    static double quality(double skill, String prompt) {
        double difficulty = Math.floorMod(prompt.hashCode() * 31, 1000) / 1000.0;
        return Math.max(0, Math.min(1, skill + (0.5 - difficulty) * DIFFICULTY_SPREAD));
    }
}
