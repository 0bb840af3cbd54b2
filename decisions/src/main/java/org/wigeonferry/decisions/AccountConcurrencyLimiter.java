package org.wigeonferry.decisions;

import java.util.HashMap;
import java.util.Map;
import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.ClientAccount;

/**
 * Counts the requests in flight of each client account.
 *
 * <p>Invariant: keeps a count only for accounts with requests in flight. Not thread safe; owned by
 * the control thread.
 */
public final class AccountConcurrencyLimiter {
    private final Map<AccountId, Integer> inFlight = new HashMap<>();

    /** Counts a request in, unless the account has as many as it may. */
    public boolean tryAcquire(ClientAccount account) {
        int now = inFlight.getOrDefault(account.id(), 0);
        if (now >= account.maxInFlight()) {
            return false;
        }
        inFlight.put(account.id(), now + 1);
        return true;
    }

    /** Counts a request out. */
    public void release(AccountId account) {
        inFlight.computeIfPresent(account, (id, count) -> count > 1 ? count - 1 : null);
    }

    /** Number of requests in flight of all accounts. */
    public int totalInFlight() {
        return inFlight.values().stream().mapToInt(Integer::intValue).sum();
    }
}
