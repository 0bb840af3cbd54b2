package org.wigeonferry.agent;

/**
 * Load of an upstream as its agent counts it.
 *
 * <p>Immutable and thread safe.
 *
 * @param inFlight attempts admitted and not finished
 * @param limit most attempts that the upstream bears now
 */
record AgentLoad(int inFlight, int limit) {}
