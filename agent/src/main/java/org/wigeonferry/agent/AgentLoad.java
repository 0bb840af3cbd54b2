package org.wigeonferry.agent;

/**
 * Load of an upstream as its agent counts it.
 *
 * <p>Immutable and thread safe.
 *
 * @param attemptsInFlight attempts admitted and not finished
 * @param concurrencyLimit most attempts that the upstream bears now
 */
record AgentLoad(int attemptsInFlight, int concurrencyLimit) {}
