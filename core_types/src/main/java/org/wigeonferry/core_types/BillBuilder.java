package org.wigeonferry.core_types;

/**
 * Builds a {@link Bill}.
 *
 * <p>Not thread safe; a builder belongs to the thread that made it.
 */
public final class BillBuilder {
    private AccountId account;
    private RequestId requestId;
    private String servedBy;
    private long generatedTokens = 0;
    private long costMicros = 0;

    BillBuilder() {}

    /** Sets the client account that is charged. */
    public BillBuilder account(AccountId value) {
        this.account = value;
        return this;
    }

    /** Sets the request that was answered. */
    public BillBuilder requestId(RequestId value) {
        this.requestId = value;
        return this;
    }

    /** Sets the id of the model version or non-model service that gave the answer. */
    public BillBuilder servedBy(String value) {
        this.servedBy = value;
        return this;
    }

    /** Sets the number of output tokens of all stages of the model cascade. */
    public BillBuilder generatedTokens(long value) {
        this.generatedTokens = value;
        return this;
    }

    /** Sets the cost of all stages of the cascade in millionths of the billing currency. */
    public BillBuilder costMicros(long value) {
        this.costMicros = value;
        return this;
    }

    /** Builds the bill without checking its fields. */
    public Bill build() {
        return new Bill(account, requestId, servedBy, generatedTokens, costMicros);
    }
}
