package org.wigeonferry.decisions;

import java.util.HashMap;
import java.util.Map;
import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.ClientAccount;

/**
 * Limits the requests in flight of each client account to the account's maximum.
 *
 * <p>Invariant: keeps a count only for accounts with requests in flight. Not thread safe; owned by
 * the control thread.
 */
public final class AccountConcurrencyLimiter {
    private final Map<AccountId, Integer> inFlightByAccount = new HashMap<>();

    /** Counts a new request; returns false if the account has its maximum in flight already. */
    public boolean tryAcquire(ClientAccount account) {
        int count = inFlightByAccount.getOrDefault(account.id(), 0);
        if (count >= account.maxConcurrentRequests()) {
            return false;
        }
        inFlightByAccount.put(account.id(), count + 1);
        return true;
    }

    /** Stops counting a request that {@link #tryAcquire} admitted. */
    public void release(AccountId account) {
        inFlightByAccount.computeIfPresent(account, (id, count) -> count > 1 ? count - 1 : null);
    }

    /** Returns the number of requests in flight over all accounts. */
    public int totalInFlight() {
        return inFlightByAccount.values().stream().mapToInt(Integer::intValue).sum();
    }
}
