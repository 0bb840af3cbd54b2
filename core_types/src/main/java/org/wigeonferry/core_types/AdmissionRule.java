package org.wigeonferry.core_types;

import java.util.Optional;

/**
 * A reason not to start an attempt.
 *
 * <p>Implementations are pure and thread safe.
 */
@FunctionalInterface
public interface AdmissionRule {
    /** Returns a refusal if the rule forbids the order in the view. */
    Optional<Refusal> check(StartOrder order, AdmissionState view);
}
