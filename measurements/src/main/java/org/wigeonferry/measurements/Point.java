package org.wigeonferry.measurements;

/**
 * One measured point.
 *
 * <p>Immutable and thread safe.
 *
 * @param x what was varied
 * @param y what was measured
 */
record Point(double x, double y) {}
