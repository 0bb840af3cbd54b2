package org.wigeonferry.core_types;

import java.time.Duration;
import java.util.Optional;

/**
 * Order of an entry to an agent to run one attempt of a request.
 *
 * <p>Immutable and thread safe.
 *
 * @param entry the process that sends the order
 * @param requestId the request
 * @param attempt number of this attempt within the request, from 0
 * @param account the client account that pays
 * @param version the version to run, for a model
 * @param service the plain service to call
 * @param operation operation of the plain service
 * @param revision configuration that the entry chose by
 * @param timeLeft time left to the deadline
 * @param requestDigest digest of account and body; equal for a resend
 * @param idempotencyKey key of a call that may not be repeated
 * @param suspected whether the sender has seen an upstream crash with this digest in flight
 * @param answerBytesAtCrash bytes of the answer that had come at that crash
 */
public record StartOrder(
        NodeId entry,
        RequestId requestId,
        int attempt,
        AccountId account,
        Optional<VersionId> version,
        Optional<ServiceId> service,
        String operation,
        Revision revision,
        Duration timeLeft,
        String requestDigest,
        Optional<String> idempotencyKey,
        boolean suspected,
        long answerBytesAtCrash) {

    /** Starts a builder with the default of every optional field. */
    public static StartOrderBuilder builder() {
        return new StartOrderBuilder();
    }

    /** Starts a builder that holds this value's fields. */
    public StartOrderBuilder toBuilder() {
        return new StartOrderBuilder()
                .entry(entry)
                .requestId(requestId)
                .attempt(attempt)
                .account(account)
                .version(version)
                .service(service)
                .operation(operation)
                .revision(revision)
                .timeLeft(timeLeft)
                .requestDigest(requestDigest)
                .idempotencyKey(idempotencyKey)
                .suspected(suspected)
                .answerBytesAtCrash(answerBytesAtCrash);
    }

    /** Key that tells this attempt from all others. */
    public String attemptKey() {
        return entry + "/" + account + "/" + requestId + "/" + attempt;
    }
}
