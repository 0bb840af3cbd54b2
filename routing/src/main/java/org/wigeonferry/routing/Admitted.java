package org.wigeonferry.routing;

/**
 * A request that may be sent.
 *
 * <p>Thread safe as a reference; the job is control state.
 */
public record Admitted(Job job) implements AdmissionResult {}
