package org.wigeonferry.routing;

/**
 * Whether a request is admitted to routing.
 *
 * <p>Implementations are immutable and thread safe.
 */
public sealed interface AdmissionResult permits Admitted, Refused {}
