package org.wigeonferry.routing.room;

import java.util.OptionalLong;

/**
 * What an upstream takes from all routers together.
 *
 * <p>Immutable and thread safe.
 *
 * @param places requests that run or wait at the upstream
 * @param tokens tokens that fit in an engine's memory; an engine that holds more crashes; empty for
 *     an upstream that responds "not run" to what it has no place for
 */
public record UpstreamCapacity(int places, OptionalLong tokens) {
    /** One request may queue at an upstream for each of so many slots, so that no slot is idle. */
    private static final int SLOTS_PER_QUEUED_REQUEST = 8;

    /** Covers the requests that a server with few slots finishes between two reports. */
    private static final int MIN_QUEUED_REQUESTS = 4;

    /** The capacity of a model engine. */
    public static UpstreamCapacity ofEngine(int slots, long tokens) {
        return new UpstreamCapacity(placesFor(slots), OptionalLong.of(tokens));
    }

    /** The capacity of an upstream without a model. */
    public static UpstreamCapacity ofServer(int slots) {
        return new UpstreamCapacity(placesFor(slots), OptionalLong.empty());
    }

    private static int placesFor(int slots) {
        int usable = Math.max(1, slots);
        return usable + Math.max(MIN_QUEUED_REQUESTS, usable / SLOTS_PER_QUEUED_REQUEST);
    }
}
