package org.wigeonferry.node_runtime.ingress;

import java.time.Duration;

/**
 * Bytes and times of a connection in its present phase.
 *
 * <p>Immutable and thread safe.
 *
 * @param phase what the connection waits for
 * @param phaseTime time since the phase began
 * @param phaseBytes bytes received in the phase
 * @param silence time since the last byte was received or sent
 * @param writeBlocked whether the caller has not read what was written
 * @param blockedTime time since the caller last had read everything
 * @param blockedBytes bytes that the caller has read since then
 * @param heldBytes bytes of its requests in memory
 */
record ConnectionProgress(
        ConnectionPhase phase,
        Duration phaseTime,
        long phaseBytes,
        Duration silence,
        boolean writeBlocked,
        Duration blockedTime,
        long blockedBytes,
        long heldBytes) {}
