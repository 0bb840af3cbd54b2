package org.wigeonferry.command_line.soak;

/**
 * An upstream began to run a request.
 *
 * <p>Immutable.
 *
 * @param upstream the upstream's id
 * @param atMillis when, in milliseconds of the soak
 */
record SoakRunOfRequest(String id, String upstream, long atMillis) {}
