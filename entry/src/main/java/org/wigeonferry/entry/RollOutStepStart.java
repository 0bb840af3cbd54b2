package org.wigeonferry.entry;

import org.wigeonferry.decisions.VersionEvidence;

/**
 * Exposure of a roll-out step, and the evidence on the version when the step began.
 *
 * <p>Immutable and thread safe.
 *
 * @param exposurePercent share of requests that may use the version in this step, in percent
 * @param evidenceAtStart evidence on the version when the step began
 */
record RollOutStepStart(int exposurePercent, VersionEvidence evidenceAtStart) {}
