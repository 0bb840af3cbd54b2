package org.wigeonferry.core_types;

import java.time.Duration;
import java.util.Optional;

/**
 * Order to run one attempt of a request. An entry, the process that takes requests from callers,
 * sends it to the agent, the process that controls access to an upstream.
 *
 * <p>Immutable and thread safe.
 *
 * @param entry the entry that sends the order
 * @param requestId the request that the attempt belongs to
 * @param attemptNumber number of this attempt, unique within the request, from 0; not consecutive,
 *     as each stage of the model cascade has a range of its own
 * @param account the client account that sent the request
 * @param version the model version to run; empty for a call of a non-model service
 * @param service the non-model service to call; empty for a model request
 * @param operation method and path of the service call, separated by a space; empty for a model
 *     request
 * @param revision revision of the configuration with which the entry chose the upstream
 * @param timeLeft time left until the request's deadline
 * @param requestDigest digest of account, URL path and query, and body; a request that is sent
 *     again has the same digest
 * @param idempotencyKey the caller's idempotency key; present for calls that are not safe to repeat
 * @param suspected whether the entry knows of an upstream crash with this request in flight
 * @param answerBytesAtCrash bytes of the answer received before the last such crash, 0 if none
 */
public record StartOrder(
        NodeId entry,
        RequestId requestId,
        int attemptNumber,
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

    /**
     * Returns a builder; entry, request id and account must be set, and either version or service.
     */
    public static StartOrderBuilder builder() {
        return new StartOrderBuilder();
    }

    /** Returns a builder initialised with the fields of this record. */
    public StartOrderBuilder toBuilder() {
        return new StartOrderBuilder()
                .entry(entry)
                .requestId(requestId)
                .attemptNumber(attemptNumber)
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

    /** Returns the unique key of this attempt. */
    public String attemptKey() {
        return entry + "/" + account + "/" + requestId + "/" + attemptNumber;
    }
}
