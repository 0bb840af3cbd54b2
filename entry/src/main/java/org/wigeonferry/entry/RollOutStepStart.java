package org.wigeonferry.entry;

import org.wigeonferry.decisions.VersionEvidence;

/**
 * Where a step of a roll-out began.
 *
 * <p>Immutable and thread safe.
 *
 * @param exposurePercent exposure of the step
 * @param evidenceAtStart evidence on the version when it began
 */
record RollOutStepStart(int exposurePercent, VersionEvidence evidenceAtStart) {}
