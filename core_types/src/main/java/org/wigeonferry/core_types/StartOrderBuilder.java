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
    private int attempt = 0;
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

    /** Sets the process that sends the order. */
    public StartOrderBuilder entry(NodeId value) {
        this.entry = value;
        return this;
    }

    /** Sets the request. */
    public StartOrderBuilder requestId(RequestId value) {
        this.requestId = value;
        return this;
    }

    /** Sets number of this attempt within the request, from 0. */
    public StartOrderBuilder attempt(int value) {
        this.attempt = value;
        return this;
    }

    /** Sets the client account that pays. */
    public StartOrderBuilder account(AccountId value) {
        this.account = value;
        return this;
    }

    /** Sets the version to run, for a model. */
    public StartOrderBuilder version(Optional<VersionId> value) {
        this.version = value;
        return this;
    }

    /** Sets the plain service to call. */
    public StartOrderBuilder service(Optional<ServiceId> value) {
        this.service = value;
        return this;
    }

    /** Sets operation of the plain service. */
    public StartOrderBuilder operation(String value) {
        this.operation = value;
        return this;
    }

    /** Sets configuration that the entry chose by. */
    public StartOrderBuilder revision(Revision value) {
        this.revision = value;
        return this;
    }

    /** Sets time left to the deadline. */
    public StartOrderBuilder timeLeft(Duration value) {
        this.timeLeft = value;
        return this;
    }

    /** Sets digest of account and body; equal for a resend. */
    public StartOrderBuilder requestDigest(String value) {
        this.requestDigest = value;
        return this;
    }

    /** Sets key of a call that may not be repeated. */
    public StartOrderBuilder idempotencyKey(Optional<String> value) {
        this.idempotencyKey = value;
        return this;
    }

    /** Sets whether the sender has seen an upstream crash with this digest in flight. */
    public StartOrderBuilder suspected(boolean value) {
        this.suspected = value;
        return this;
    }

    /** Sets bytes of the answer that had come at that crash. */
    public StartOrderBuilder answerBytesAtCrash(long value) {
        this.answerBytesAtCrash = value;
        return this;
    }

    /** Builds the value; fails on a field that breaks an invariant of {@link StartOrder}. */
    public StartOrder build() {
        return new StartOrder(
                entry,
                requestId,
                attempt,
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
