package org.wigeonferry.routing;

import java.util.OptionalInt;

/**
 * A client account as the routing configuration knows it.
 *
 * <p>Immutable and thread safe.
 *
 * @param rank urgency that goes before the route's
 */
public record Account(String name, OptionalInt rank) {}
