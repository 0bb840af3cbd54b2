package org.wigeonferry.routing;

import java.util.OptionalInt;

/**
 * A client account of the routing configuration.
 *
 * <p>Immutable and thread safe.
 *
 * @param rank urgency of the account's requests; overrides the route's; 0 is the most urgent
 */
public record Account(String name, OptionalInt rank) {}
