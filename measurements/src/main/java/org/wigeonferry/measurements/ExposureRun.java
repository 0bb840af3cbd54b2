package org.wigeonferry.measurements;

/**
 * How one roll-out went.
 *
 * <p>Immutable and thread safe.
 *
 * @param exposed requests that met the new version
 * @param pulledBack whether it was pulled back
 */
record ExposureRun(int exposed, boolean pulledBack) {}
