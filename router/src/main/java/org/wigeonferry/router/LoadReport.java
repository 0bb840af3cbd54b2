package org.wigeonferry.router;

import java.util.List;
import org.wigeonferry.routing.AgedLoad;
import org.wigeonferry.routing.OwnLoad;
import org.wigeonferry.routing.SentPrompt;

/**
 * All that one router has under way at the upstreams, and the prompts that it sent and the
 * upstreams that it lost since its report before.
 *
 * <p>Immutable and thread safe.
 *
 * @param sequence rises with each report of a router, also over its restarts
 * @param lostUpstreams keys of upstreams that refused a connection, or lost several at once
 * @param forwardedLoads what upstreams reported to the router since its report before
 */
record LoadReport(
        String router,
        long sequence,
        List<OwnLoad> loads,
        List<SentPrompt> prompts,
        List<Integer> lostUpstreams,
        List<AgedLoad> forwardedLoads) {
    LoadReport {
        lostUpstreams = List.copyOf(lostUpstreams);
        loads = List.copyOf(loads);
        prompts = List.copyOf(prompts);
        forwardedLoads = List.copyOf(forwardedLoads);
    }

    /** The same report without the prompts. */
    LoadReport withoutPrompts() {
        return new LoadReport(router, sequence, loads, List.of(), lostUpstreams, forwardedLoads);
    }
}
