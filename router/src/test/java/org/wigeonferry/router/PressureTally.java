package org.wigeonferry.router;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wigeonferry.routing.RefusalCause;

/** What the callers of {@link PressureFleet} met. */
final class PressureTally {
    private final Map<String, Integer> inTime = new HashMap<>();
    private final Map<RefusalCause, Integer> refusals = new HashMap<>();
    private final List<Long> refusalWaits = new ArrayList<>();
    private int late;

    void onAnswer(String account, boolean isInTime) {
        if (isInTime) {
            inTime.merge(account, 1, Integer::sum);
            return;
        }
        late++;
    }

    void onRefusal(RefusalCause cause, long waitedNanos) {
        refusals.merge(cause, 1, Integer::sum);
        refusalWaits.add(waitedNanos);
    }

    /** Requests whose first event came within the latency objective. */
    int goodput() {
        return inTime.values().stream().mapToInt(count -> count).sum();
    }

    int goodputOf(String account) {
        return inTime.getOrDefault(account, 0);
    }

    int late() {
        return late;
    }

    Map<RefusalCause, Integer> refusals() {
        return refusals;
    }

    /** Median time between the arrival of a request and its refusal; 0 without refusals. */
    double medianRefusalWaitMillis() {
        if (refusalWaits.isEmpty()) {
            return 0;
        }
        List<Long> sorted = new ArrayList<>(refusalWaits);
        Collections.sort(sorted);
        return sorted.get(sorted.size() / 2) / 1e6;
    }
}
