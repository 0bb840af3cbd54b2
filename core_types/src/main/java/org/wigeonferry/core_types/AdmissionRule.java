package org.wigeonferry.core_types;

import java.util.Optional;

/**
 * A rule that decides whether an agent may start an attempt, that is, one try of a request on its
 * upstream.
 *
 * <p>Implementations are pure and thread safe.
 */
@FunctionalInterface
public interface AdmissionRule {
    /** Returns the refusal of the order in this state, or empty if this rule allows it. */
    Optional<Refusal> check(StartOrder order, AdmissionState state);
}
