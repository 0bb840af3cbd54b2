package org.wigeonferry.routing;

import java.time.Duration;

/**
 * A job that waits until an upstream has room for it; {@link RoutingState#routeJob} has to be
 * called again then.
 *
 * <p>Immutable and thread safe.
 *
 * @param expectedWait how long it will probably wait; zero if that is not known
 * @param timeLeft time after which it can't be answered in time any more
 */
public record Waiting(Duration expectedWait, Duration timeLeft) implements PlacementResult {}
