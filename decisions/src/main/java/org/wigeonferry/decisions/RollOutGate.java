package org.wigeonferry.decisions;

/**
 * Decides on a roll-out from the evidence on the new version and the one it replaces.
 *
 * <p>Implementations are pure.
 */
@FunctionalInterface
public interface RollOutGate {
    /**
     * Decides.
     *
     * @param candidate evidence on the new version since its present exposure began
     * @param baseline evidence on the version it replaces, over all time
     */
    RollOutDecision decide(VersionEvidence candidate, VersionEvidence baseline);
}
