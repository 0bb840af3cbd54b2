package org.wigeonferry.entry;

import java.time.Duration;
import java.util.Optional;
import org.wigeonferry.core_types.ClientAccount;
import org.wigeonferry.core_types.RequestClassId;
import org.wigeonferry.core_types.RequestId;

/**
 * A parsed and authenticated request of a caller.
 *
 * <p>Immutable and thread safe, as long as the body is not modified.
 *
 * @param account client account that sent the request
 * @param requestId id of the request; a caller that sends the request again uses the same id
 * @param requestClass request class, which sets the time limit and the quality target
 * @param timeLimit longest time from arrival to the end of the answer
 * @param arrivedNanos time of arrival, from {@link System#nanoTime}
 * @param requestDigest digest of account, target and body
 * @param body the body as received
 * @param idempotencyKey idempotency key of a call that must run at most once
 */
record Call(
        ClientAccount account,
        RequestId requestId,
        RequestClassId requestClass,
        Duration timeLimit,
        long arrivedNanos,
        String requestDigest,
        byte[] body,
        Optional<String> idempotencyKey) {
    /** Time left until the time limit is reached; negative afterwards. */
    Duration timeLeft() {
        return timeLimit.minusNanos(System.nanoTime() - arrivedNanos);
    }
}
