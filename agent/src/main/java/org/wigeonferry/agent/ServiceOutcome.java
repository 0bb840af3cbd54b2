package org.wigeonferry.agent;

import java.util.Optional;
import org.wigeonferry.core_types.Refusal;
import org.wigeonferry.core_types.RefusalReason;

/**
 * How a call of a non-model service ended. The outcome is unknown if neither {@code refusal} nor
 * {@code result} is present.
 *
 * <p>Immutable and thread safe.
 *
 * @param refusal why this attempt did not run the call and never will; empty if it ran or may have
 * @param result response of the service; present if the call finished
 * @param stored whether the result is the stored one of an earlier call with the same idempotency
 *     key
 * @param detail diagnostic text on a call that was not run or whose outcome is unknown
 */
record ServiceOutcome(
        Optional<Refusal> refusal, Optional<ServiceResult> result, boolean stored, String detail) {
    static ServiceOutcome ofNotRun(RefusalReason reason, String detail) {
        return new ServiceOutcome(
                Optional.of(Refusal.of(reason, detail)), Optional.empty(), false, detail);
    }

    static ServiceOutcome ofResult(ServiceResult result, boolean stored) {
        return new ServiceOutcome(Optional.empty(), Optional.of(result), stored, "");
    }

    static ServiceOutcome ofUnknown(String detail) {
        return new ServiceOutcome(Optional.empty(), Optional.empty(), false, detail);
    }
}
