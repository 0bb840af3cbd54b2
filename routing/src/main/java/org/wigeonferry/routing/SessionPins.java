package org.wigeonferry.routing;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers which release each session of a service was last on.
 *
 * <p>Invariant: at most {@link #MAX_SESSIONS} sessions, the oldest leave first. Owned by the
 * control thread.
 */
final class SessionPins {
    /** Most sessions that are remembered. */
    static final int MAX_SESSIONS = 20_000;

    /** Sessions are remembered a little longer than they last, for clocks that differ. */
    private static final Duration MARGIN = Duration.ofSeconds(2);

    private final long lifeNanos;
    private final Map<String, SessionPin> pins = new LinkedHashMap<>();

    SessionPins(Duration life) {
        lifeNanos = life.plus(MARGIN).toNanos();
    }

    Optional<String> releaseOf(String service, String session, long now) {
        return Optional.ofNullable(pins.get(key(service, session)))
                .filter(pin -> now - pin.lastUsedNanos() < lifeNanos)
                .map(SessionPin::release);
    }

    void recordRelease(String service, String session, String release, long now) {
        String key = key(service, session);
        pins.remove(key);
        pins.put(key, new SessionPin(release, now));
        if (pins.size() > MAX_SESSIONS) {
            pins.remove(pins.keySet().iterator().next());
        }
    }

    private static String key(String service, String session) {
        return service + '/' + session;
    }
}
