package org.wigeonferry.routing.room;

/**
 * The routers of this router's availability zone.
 *
 * <p>Immutable and thread safe.
 *
 * @param count live routers of the zone, this one included; at least 1
 * @param isolated whether others are live, but no report of any of them has arrived lately
 */
public record ZoneRouters(int count, boolean isolated) {
    public ZoneRouters {
        count = Math.max(1, count);
    }
}
