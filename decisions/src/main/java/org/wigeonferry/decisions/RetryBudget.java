package org.wigeonferry.decisions;

/**
 * Limits retries to a share of fresh requests.
 *
 * <p>Invariant: {@code 0 <= tokens <= burst}. Not thread safe; owned by the control thread.
 */
public final class RetryBudget {
    private final double share;
    private final double burst;
    private double tokens;

    /** Allows {@code share} retries a request, and at most {@code burst} at once. */
    public RetryBudget(double share, double burst) {
        this.share = share;
        this.burst = burst;
        this.tokens = burst;
    }

    /** Notes a fresh request. */
    public void onNewRequest() {
        tokens = Math.min(burst, tokens + share);
    }

    /** Takes a retry out of the budget, if it holds one. */
    public boolean tryAcquireRetry() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
