package org.wigeonferry.routing;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers which release last served each session of a service.
 *
 * <p>Invariant: at most {@link #MAX_SESSIONS} sessions, the oldest are evicted first. Owned by the
 * control thread.
 */
final class SessionPins {
    /** Maximum number of sessions remembered. */
    static final int MAX_SESSIONS = 20_000;

    /** Added to the time to live of a session, since clocks of other processes may differ. */
    private static final Duration TTL_MARGIN = Duration.ofSeconds(2);

    private final long ttlNanos;
    private final Map<String, SessionPin> pins = new LinkedHashMap<>();

    SessionPins(Duration sessionTtl) {
        ttlNanos = sessionTtl.plus(TTL_MARGIN).toNanos();
    }

    /** The release that last served a session; empty if the session has expired. */
    Optional<String> releaseOf(String service, String session, long nowNanos) {
        return Optional.ofNullable(pins.get(key(service, session)))
                .filter(pin -> nowNanos - pin.lastUsedNanos() < ttlNanos)
                .map(SessionPin::release);
    }

    void recordRelease(String service, String session, String release, long nowNanos) {
        String key = key(service, session);
        pins.remove(key);
        pins.put(key, new SessionPin(release, nowNanos));
        if (pins.size() > MAX_SESSIONS) {
            pins.remove(pins.keySet().iterator().next());
        }
    }

    private static String key(String service, String session) {
        return service + '/' + session;
    }
}
