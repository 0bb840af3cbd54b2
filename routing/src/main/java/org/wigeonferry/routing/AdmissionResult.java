package org.wigeonferry.routing;

/**
 * The first answer to a request: whether routing goes on.
 *
 * <p>Implementations are immutable and thread safe.
 */
public sealed interface AdmissionResult permits Admitted, Refused {}
