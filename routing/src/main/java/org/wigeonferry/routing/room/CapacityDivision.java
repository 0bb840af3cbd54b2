package org.wigeonferry.routing.room;

import java.util.OptionalLong;

/**
 * Divides an upstream's capacity between the routers of its own availability zone, which share one
 * part of it, and those of the other zones, which have a fixed number of equal grants.
 *
 * <p>Handles sends from routers of several zones: routers of different zones exchange no reports,
 * so their parts must not depend on any. Invariant: the parts add up to less than the capacity.
 * Immutable and thread safe.
 *
 * @param otherZones whether routers of other zones are live; their part is shared too if not
 */
public record CapacityDivision(UpstreamCapacity capacity, boolean otherZones) {
    /** All tokens, divided by this, stay free: for lost reports, and routers not yet known. */
    private static final int TOKEN_MARGIN_DIVISOR = 16;

    /**
     * The capacity, divided by this, is for the routers of other zones; it also serves a zone that
     * lost its upstreams.
     */
    private static final int OTHER_ZONES_DIVISOR = 4;

    /** A grant is as large as a long prompt; fewer routers than grants get several. */
    private static final int MAX_GRANTS = 8;

    /** Grants, each of which goes to one router. */
    public int grants() {
        return Math.max(1, Math.min(MAX_GRANTS, capacity.places() / OTHER_ZONES_DIVISOR));
    }

    /** Requests that the router with a grant may have at the upstream. */
    public int placesPerGrant() {
        return Math.max(1, capacity.places() / OTHER_ZONES_DIVISOR / grants());
    }

    /** Tokens that the router with a grant may hold at the upstream. */
    public OptionalLong tokensPerGrant() {
        return usableTokens().isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(usableTokens().getAsLong() / OTHER_ZONES_DIVISOR / grants());
    }

    /** Requests of the routers of the upstream's own zone. */
    public int zonePlaces() {
        int granted = otherZones ? grants() * placesPerGrant() : 0;
        return Math.max(1, capacity.places() - granted);
    }

    /** Tokens of the routers of the upstream's own zone. */
    public OptionalLong zoneTokens() {
        if (usableTokens().isEmpty()) {
            return OptionalLong.empty();
        }
        long granted = otherZones ? grants() * tokensPerGrant().getAsLong() : 0;
        return OptionalLong.of(usableTokens().getAsLong() - granted);
    }

    private OptionalLong usableTokens() {
        return capacity.tokens().isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(
                        capacity.tokens().getAsLong()
                                - capacity.tokens().getAsLong() / TOKEN_MARGIN_DIVISOR);
    }
}
