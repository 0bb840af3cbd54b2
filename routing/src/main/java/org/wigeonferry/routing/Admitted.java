package org.wigeonferry.routing;

/**
 * A request that may be sent.
 *
 * <p>Thread safe as a reference; the job may be changed only on the control thread.
 */
public record Admitted(Job job) implements AdmissionResult {}
