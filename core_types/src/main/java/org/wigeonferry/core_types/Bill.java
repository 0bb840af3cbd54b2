package org.wigeonferry.core_types;

/**
 * The charge for one answered request.
 *
 * <p>Immutable and thread safe.
 *
 * @param account the client account that is charged
 * @param requestId the request that was answered
 * @param servedBy the id of the model version or non-model service that gave the answer
 * @param generatedTokens output tokens of all stages of the model cascade; each stage queries one
 *     model version
 * @param costMicros cost of all stages of the cascade in millionths of the billing currency
 */
public record Bill(
        AccountId account,
        RequestId requestId,
        String servedBy,
        long generatedTokens,
        long costMicros) {

    /** Returns a builder; account, request id and servedBy must be set, the others default to 0. */
    public static BillBuilder builder() {
        return new BillBuilder();
    }

    /** Returns a builder initialised with the fields of this record. */
    public BillBuilder toBuilder() {
        return new BillBuilder()
                .account(account)
                .requestId(requestId)
                .servedBy(servedBy)
                .generatedTokens(generatedTokens)
                .costMicros(costMicros);
    }

    /** Returns the key of the bill's row: one per request, so that a request is billed once. */
    public String rowKey() {
        return "bill/" + account + "/" + requestId;
    }
}
