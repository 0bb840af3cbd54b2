package org.wigeonferry.agent;

import java.util.Optional;
import org.wigeonferry.core_types.Refusal;
import org.wigeonferry.core_types.RefusalReason;

/**
 * How a call of a plain service ended: not run, finished, or unknown if neither is present.
 *
 * <p>Immutable and thread safe.
 *
 * @param refusal why the call was not run and will not be
 * @param result answer of the service
 * @param stored whether the answer is that of an earlier call with the same key
 * @param detail what is known of an unknown outcome
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
