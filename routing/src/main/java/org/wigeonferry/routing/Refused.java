package org.wigeonferry.routing;

/**
 * A request that is not served.
 *
 * <p>Immutable and thread safe.
 */
public record Refused(RefusalCause cause) implements AdmissionResult, PlacementResult {}
