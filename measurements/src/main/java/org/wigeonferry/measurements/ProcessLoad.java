package org.wigeonferry.measurements;

import java.time.Duration;

/**
 * What a load cost the processes of each role.
 *
 * <p>Immutable and thread safe.
 *
 * @param requestsPerSecond rate of the load
 * @param length how long it was held
 * @param entryShare share of a core that all entries used together
 * @param agentShare share of a core that all agents used together
 * @param entryMegabytes mean resident memory of an entry
 * @param agentMegabytes mean resident memory of an agent
 * @param tableWritesPerSecond writes on the table service
 */
record ProcessLoad(
        int requestsPerSecond,
        Duration length,
        double entryShare,
        double agentShare,
        double entryMegabytes,
        double agentMegabytes,
        double tableWritesPerSecond) {}
