package org.wigeonferry.decisions;

import java.util.HashMap;
import java.util.Map;
import org.wigeonferry.core_types.ClassId;

/**
 * Moves each class's threshold of acceptance until the mean rating of what is delivered meets the
 * target.
 *
 * <p>A surplus of quality lowers the threshold and so the cost; a lack raises it. Not thread safe;
 * owned by the control thread.
 */
public final class AcceptanceThreshold {
    private static final double GAIN = 0.02;

    private final Map<ClassId, Double> thresholds = new HashMap<>();

    /** Least rating at which an answer is delivered without escalation. */
    public double threshold(ClassId type, double target) {
        return thresholds.getOrDefault(type, target);
    }

    /** Notes the rating of a delivered answer. */
    public void onDelivered(ClassId type, double target, double rating) {
        double moved = threshold(type, target) + GAIN * (target - rating);
        thresholds.put(type, Math.max(0, Math.min(1, moved)));
    }

    /** Forgets classes that a catalog no longer lists. */
    public void retain(java.util.Collection<ClassId> classes) {
        thresholds.keySet().retainAll(classes);
    }
}
