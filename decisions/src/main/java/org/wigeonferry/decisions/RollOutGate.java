package org.wigeonferry.decisions;

/**
 * Decides whether a roll-out advances, waits or is rolled back, from the evidence on the new
 * version and on the one it replaces.
 *
 * <p>Implementations are pure.
 */
@FunctionalInterface
public interface RollOutGate {
    /**
     * Decides on the next step of a roll-out.
     *
     * @param candidate evidence on the new version since its current exposure was set
     * @param baseline all evidence on the version it replaces, not only since then
     */
    RollOutDecision decide(VersionEvidence candidate, VersionEvidence baseline);
}
