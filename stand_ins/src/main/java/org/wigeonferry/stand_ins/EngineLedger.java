package org.wigeonferry.stand_ins;

import java.util.Map;

/**
 * What a stand-in engine truly ran.
 *
 * <p>Immutable and thread safe.
 *
 * @param starts requests started
 * @param overloads requests that were more than the engine bore
 * @param crashes times the engine was lost
 * @param mostInFlight most requests at once
 * @param startsByVersion requests started of each version
 */
public record EngineLedger(
        int starts,
        int overloads,
        int crashes,
        int mostInFlight,
        Map<String, Integer> startsByVersion) {}
