package org.wigeonferry.decisions;

/**
 * Token bucket that limits retries to a share of new requests; a retry takes one token.
 *
 * <p>Invariant: {@code 0 <= tokens <= maxTokens}. Not thread safe; owned by the control thread.
 */
public final class RetryBudget {
    private final double retriesPerRequest;
    private final double maxTokens;
    private double tokens;

    /**
     * Creates a full budget.
     *
     * @param retriesPerRequest tokens that each new request adds
     * @param maxTokens capacity of the bucket: maximum number of retries in a burst
     */
    public RetryBudget(double retriesPerRequest, double maxTokens) {
        this.retriesPerRequest = retriesPerRequest;
        this.maxTokens = maxTokens;
        this.tokens = maxTokens;
    }

    /** Adds the tokens of a new request; retries don't count as new requests. */
    public void onNewRequest() {
        tokens = Math.min(maxTokens, tokens + retriesPerRequest);
    }

    /** Takes one token for a retry; false if there is none. */
    public boolean tryAcquireRetry() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
