package org.wigeonferry.core_types;

import java.time.Duration;
import java.util.Optional;

/**
 * Builds a {@link StartOrder}.
 *
 * <p>Not thread safe; a builder belongs to the thread that made it.
 */
public final class StartOrderBuilder {
    private NodeId entry;
    private RequestId requestId;
    private int attemptNumber = 0;
    private AccountId account;
    private Optional<VersionId> version = Optional.empty();
    private Optional<ServiceId> service = Optional.empty();
    private String operation = "";
    private Revision revision = Revision.NONE;
    private Duration timeLeft = Duration.ofSeconds(30);
    private String requestDigest = "";
    private Optional<String> idempotencyKey = Optional.empty();
    private boolean suspected = false;
    private long answerBytesAtCrash = 0;

    StartOrderBuilder() {}

    /** Sets the entry that sends the order. */
    public StartOrderBuilder entry(NodeId value) {
        this.entry = value;
        return this;
    }

    /** Sets the request that the attempt belongs to. */
    public StartOrderBuilder requestId(RequestId value) {
        this.requestId = value;
        return this;
    }

    /** Sets the number of this attempt, unique within the request; 0 by default. */
    public StartOrderBuilder attemptNumber(int value) {
        this.attemptNumber = value;
        return this;
    }

    /** Sets the client account that sent the request. */
    public StartOrderBuilder account(AccountId value) {
        this.account = value;
        return this;
    }

    /** Sets the model version to run; empty for a call of a non-model service. */
    public StartOrderBuilder version(Optional<VersionId> value) {
        this.version = value;
        return this;
    }

    /** Sets the non-model service to call; empty for a model request. */
    public StartOrderBuilder service(Optional<ServiceId> value) {
        this.service = value;
        return this;
    }

    /** Sets the method and path of the service call, separated by a space. */
    public StartOrderBuilder operation(String value) {
        this.operation = value;
        return this;
    }

    /** Sets the revision of the configuration with which the entry chose the upstream. */
    public StartOrderBuilder revision(Revision value) {
        this.revision = value;
        return this;
    }

    /** Sets the time left until the request's deadline; 30 s by default. */
    public StartOrderBuilder timeLeft(Duration value) {
        this.timeLeft = value;
        return this;
    }

    /** Sets the digest of account, URL path and query, and body. */
    public StartOrderBuilder requestDigest(String value) {
        this.requestDigest = value;
        return this;
    }

    /** Sets the caller's idempotency key; present for calls that are not safe to repeat. */
    public StartOrderBuilder idempotencyKey(Optional<String> value) {
        this.idempotencyKey = value;
        return this;
    }

    /** Sets whether the entry knows of an upstream crash with this request in flight. */
    public StartOrderBuilder suspected(boolean value) {
        this.suspected = value;
        return this;
    }

    /** Sets the number of answer bytes received before the last such crash. */
    public StartOrderBuilder answerBytesAtCrash(long value) {
        this.answerBytesAtCrash = value;
        return this;
    }

    /** Builds the order without checking its fields. */
    public StartOrder build() {
        return new StartOrder(
                entry,
                requestId,
                attemptNumber,
                account,
                version,
                service,
                operation,
                revision,
                timeLeft,
                requestDigest,
                idempotencyKey,
                suspected,
                answerBytesAtCrash);
    }
}
