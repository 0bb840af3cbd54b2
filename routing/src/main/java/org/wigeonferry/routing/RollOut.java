package org.wigeonferry.routing;

import java.time.Duration;

/**
 * An operator's order to move a service to another release.
 *
 * <p>Immutable and thread safe.
 *
 * @param duration time within which the roll-out has to be completed or rolled back
 * @param revision version of the order's row in the store, not a configuration revision; a later
 *     order of the service has a higher one, unless the store has come back from an older copy
 * @param startNanos when the roll-out started, on the monotonic clock: as recorded in the store, or
 *     when this process learned of the order if no record is known
 */
public record RollOut(
        String service, String release, Duration duration, long revision, long startNanos) {
    /** Returns the same order with another start. */
    public RollOut startingAt(long nanos) {
        return new RollOut(service, release, duration, revision, nanos);
    }

    /** Returns the same order with another revision. */
    RollOut withRevision(long newRevision) {
        return new RollOut(service, release, duration, newRevision, startNanos);
    }

    /** Whether another order, if there is one, asks for the same as this one. */
    boolean hasSameContent(RollOut other) {
        return other != null
                && service.equals(other.service)
                && release.equals(other.release)
                && duration.equals(other.duration);
    }

    /** Time since the start. */
    public Duration elapsed(long nowNanos) {
        return Duration.ofNanos(nowNanos - startNanos);
    }
}
