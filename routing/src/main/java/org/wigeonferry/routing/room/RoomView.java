package org.wigeonferry.routing.room;

import java.util.OptionalInt;

/**
 * What a router knows of the requests at an upstream.
 *
 * <p>Immutable and thread safe.
 *
 * @param own this router's requests
 * @param recentTokens tokens of the requests that this router sent within the time in which reports
 *     may be out of date
 * @param peers requests of the other routers of the zone, as they reported them
 * @param silentPeers what other live routers of the zone held when their last report expired
 * @param reportedOthers requests that are not this router's, as the upstream reported them; empty
 *     if there is no recent report
 */
public record RoomView(
        HeldLoad own,
        long recentTokens,
        HeldLoad peers,
        HeldLoad silentPeers,
        OptionalInt reportedOthers) {
    public static final RoomView EMPTY =
            new RoomView(HeldLoad.NONE, 0, HeldLoad.NONE, HeldLoad.NONE, OptionalInt.empty());
}
