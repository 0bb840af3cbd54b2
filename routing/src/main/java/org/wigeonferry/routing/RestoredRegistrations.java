package org.wigeonferry.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Registrations, in the older copy that the store came back from, of upstreams that were known to
 * be gone.
 *
 * <p>Such an upstream may be leaving or have left, so it is not used before it registers again, or
 * before {@link #EXPIRY} has passed, by when the row of an upstream that is silent has expired.
 * Owned by the control thread.
 */
final class RestoredRegistrations {
    private static final Duration EXPIRY = Duration.ofSeconds(6);

    private final Map<String, UpstreamInstance> heldBack = new HashMap<>();
    private boolean isCopyRead = true;
    private long expiryNanos;

    /** Records that the rows of the copy are read next. */
    void onStoreRestored(long nowNanos) {
        isCopyRead = false;
        expiryNanos = nowNanos + EXPIRY.toNanos();
    }

    /** Records that all rows of the copy have been read. */
    void onAllRead() {
        isCopyRead = true;
    }

    /** Whether a registration of an incarnation that was known to be gone is held back. */
    boolean holdBack(UpstreamInstance upstream) {
        if (isCopyRead) {
            return false;
        }
        heldBack.put(upstream.id(), upstream);
        return true;
    }

    /** Drops what is held back of an upstream. */
    void remove(String id) {
        heldBack.remove(id);
    }

    /** Removes and returns the registrations that are no longer held back. */
    List<UpstreamInstance> takeExpired(long nowNanos) {
        if (heldBack.isEmpty() || expiryNanos - nowNanos > 0) {
            return List.of();
        }
        List<UpstreamInstance> expired = List.copyOf(heldBack.values());
        heldBack.clear();
        return expired;
    }
}
