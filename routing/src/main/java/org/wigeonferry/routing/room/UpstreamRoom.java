package org.wigeonferry.routing.room;

import java.util.OptionalLong;

/**
 * Decides whether a request fits at an upstream.
 *
 * <p>Handles bursts in which the routers together place more on an engine than its memory holds,
 * which ends the engine and all its requests. Reports of other routers are some hundred
 * milliseconds old, so a router assumes that each of them has placed as much in that time as it has
 * itself. Invariant: if the routers see each other's reports in time, the sum of their tokens stays
 * below the capacity. Immutable and thread safe.
 *
 * @param ownZone whether the upstream is in this router's zone
 * @param ownGrants grants that this router has at an upstream of another zone
 */
public record UpstreamRoom(
        CapacityDivision division, boolean ownZone, ZoneRouters zone, int ownGrants) {
    /**
     * At most this many routers are assumed to choose the same upstream before they hear of each
     * other.
     */
    private static final int MAX_SIMULTANEOUS_ROUTERS = 8;

    /** Whether a request with these tokens fits beside what is known to be there. */
    public boolean fits(RoomView view, long tokens) {
        return hasPlace(view) && fitsInMemory(view, tokens);
    }

    /** Whether a request with these tokens would fit at the upstream if it were empty. */
    public boolean canEverFit(long tokens) {
        return fits(RoomView.EMPTY, tokens);
    }

    private boolean hasPlace(RoomView view) {
        int own = view.own().requests();
        if (!ownZone) {
            return own < grantedPlaces();
        }
        if (zone.isolated()) {
            return own < Math.max(1, division.zonePlaces() / zone.count());
        }
        int others =
                Math.max(
                        view.peers().requests(),
                        view.reportedOthers().orElse(0) - otherZonePlaces());
        return own + others < division.zonePlaces();
    }

    /** An upstream without memory limit refuses what is too much, so each router may try one. */
    private int grantedPlaces() {
        int granted = ownGrants * division.placesPerGrant();
        return division.capacity().tokens().isEmpty() ? Math.max(1, granted) : granted;
    }

    private int otherZonePlaces() {
        return division.otherZones() ? division.grants() * division.placesPerGrant() : 0;
    }

    private boolean fitsInMemory(RoomView view, long tokens) {
        long own = view.own().tokens() + tokens;
        if (!ownZone) {
            OptionalLong perGrant = division.tokensPerGrant();
            return perGrant.isEmpty() || own <= ownGrants * perGrant.getAsLong();
        }
        OptionalLong zoneTokens = division.zoneTokens();
        if (zoneTokens.isEmpty()) {
            return true;
        }
        if (zone.isolated()) {
            return own <= zoneTokens.getAsLong() / zone.count();
        }
        long unreported =
                (Math.min(zone.count(), MAX_SIMULTANEOUS_ROUTERS) - 1)
                        * (view.recentTokens() + tokens);
        return own + view.peers().tokens() + silentTokens(view) + unknownTokens(view) + unreported
                <= zoneTokens.getAsLong();
    }

    /**
     * Tokens of routers that are not heard any more: all that they held, or those of as many
     * requests as the upstream still has beyond the known ones. So the room of a router that has
     * ended is free once the upstream reports that its requests are gone.
     */
    private static long silentTokens(RoomView view) {
        HeldLoad silent = view.silentPeers();
        if (view.reportedOthers().isEmpty() || silent.requests() == 0) {
            return silent.tokens();
        }
        long left = Math.max(0, view.reportedOthers().getAsInt() - view.peers().requests());
        return Math.min(silent.tokens(), left * silent.tokens() / silent.requests());
    }

    /** Requests that the upstream has beyond those known take an even part of its memory each. */
    private long unknownTokens(RoomView view) {
        int known = view.peers().requests() + view.silentPeers().requests();
        int unknown = view.reportedOthers().orElse(0) - known - otherZonePlaces();
        long perPlace = division.capacity().tokens().orElse(0) / division.capacity().places();
        return Math.max(0, unknown) * perPlace;
    }
}
