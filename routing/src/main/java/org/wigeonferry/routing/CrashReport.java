package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Set;

/**
 * What a router reports of the crashes that count against a suspect.
 *
 * <p>Immutable and thread safe.
 *
 * @param crashes keys of the crashes
 * @param age time since the last crash
 */
public record CrashReport(Set<Integer> crashes, Duration age) {
    public CrashReport {
        crashes = Set.copyOf(crashes);
    }
}
