package org.wigeonferry.entry;

import java.time.Duration;
import java.util.Optional;
import org.wigeonferry.core_types.ClientAccount;
import org.wigeonferry.core_types.RequestClassId;
import org.wigeonferry.core_types.RequestId;

/**
 * What an entry knows of a request once it was read.
 *
 * <p>Immutable and thread safe, as long as nobody alters the body.
 *
 * @param account the client account that asks
 * @param requestId the request
 * @param requestClass its class
 * @param timeLimit time from arrival to the end of the answer
 * @param arrivedNanos monotonic time of arrival
 * @param requestDigest digest of account and body
 * @param body the body as it came
 * @param idempotencyKey key of a call that may not be repeated
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
    /** Time left to the deadline; negative once it passed. */
    Duration timeLeft() {
        return timeLimit.minusNanos(System.nanoTime() - arrivedNanos);
    }
}
