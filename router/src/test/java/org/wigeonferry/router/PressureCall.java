package org.wigeonferry.router;

import org.wigeonferry.routing.RoutedRequest;

/**
 * A request of {@link PressureFleet}.
 *
 * @param firstNanos when its caller sent the first attempt
 * @param decodeMillis how long an engine generates its answer
 */
record PressureCall(RoutedRequest request, String account, long firstNanos, int decodeMillis) {}
