package org.wigeonferry.agent;

/**
 * Load of an upstream, as counted by its agent.
 *
 * <p>Immutable and thread safe.
 *
 * @param attemptsInFlight attempts that were admitted and have not ended
 * @param concurrencyLimit current maximum of attempts in flight
 */
record AgentLoad(int attemptsInFlight, int concurrencyLimit) {}
