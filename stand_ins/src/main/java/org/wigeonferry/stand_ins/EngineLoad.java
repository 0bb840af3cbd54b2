package org.wigeonferry.stand_ins;

import java.util.HashMap;
import java.util.Map;

/**
 * Load and warmth of a stand-in engine, and the ledger of what it truly ran.
 *
 * <p>Thread safe: every method holds the lock of this object.
 */
final class EngineLoad {
    private final int warmCapacity;
    private final int coldCapacity;
    private final int warmUp;
    private int inFlight;
    private int answersSinceCold;
    private int mostInFlight;
    private int overloads;
    private int starts;
    private int generation;
    private final Map<String, Integer> startsByVersion = new HashMap<>();

    EngineLoad(int warmCapacity, int coldCapacity, int warmUp) {
        this.warmCapacity = warmCapacity;
        this.coldCapacity = coldCapacity;
        this.warmUp = warmUp;
    }

    /** Counts a request in; false if it is more than the engine bears. */
    synchronized boolean enter(String version) {
        inFlight++;
        starts++;
        startsByVersion.merge(version, 1, Integer::sum);
        mostInFlight = Math.max(mostInFlight, inFlight);
        if (inFlight <= capacity()) {
            return true;
        }
        overloads++;
        return false;
    }

    /** Number of times the engine went cold; a request belongs to the one it started in. */
    synchronized int generation() {
        return generation;
    }

    synchronized void answered(int startedIn) {
        if (startedIn == generation) {
            answersSinceCold++;
            inFlight--;
        }
    }

    synchronized void cancelled(int startedIn) {
        if (startedIn == generation) {
            inFlight--;
        }
    }

    synchronized void cold() {
        answersSinceCold = 0;
        inFlight = 0;
        generation++;
    }

    synchronized int capacity() {
        return Math.min(warmCapacity, coldCapacity + answersSinceCold / warmUp);
    }

    synchronized int inFlight() {
        return inFlight;
    }

    synchronized EngineLedger ledger(int crashes) {
        return new EngineLedger(
                starts, overloads, crashes, mostInFlight, Map.copyOf(startsByVersion));
    }
}
