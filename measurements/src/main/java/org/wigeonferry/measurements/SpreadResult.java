package org.wigeonferry.measurements;

/**
 * How a change spread.
 *
 * <p>Immutable and thread safe.
 *
 * @param way name of the way to spread
 * @param nodes number of nodes
 * @param condition what was wrong with the network
 * @param lastSeconds time until the last node that could be reached had the change
 * @param messages messages above the steady exchange
 * @param kilobytes bytes above the steady exchange
 * @param steadyBytesPerNode bytes a second and node of the steady exchange
 */
record SpreadResult(
        String way,
        int nodes,
        String condition,
        double lastSeconds,
        long messages,
        double kilobytes,
        double steadyBytesPerNode) {}
