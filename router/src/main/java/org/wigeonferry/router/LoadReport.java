package org.wigeonferry.router;

import java.util.List;
import org.wigeonferry.routing.OwnLoad;
import org.wigeonferry.routing.SentPrompt;

/**
 * All that one router has under way at the upstreams, and the prompts that it sent since its report
 * before.
 *
 * <p>Immutable and thread safe.
 *
 * @param sequence rises with each report of a router, also over its restarts
 */
record LoadReport(String router, long sequence, List<OwnLoad> loads, List<SentPrompt> prompts) {
    LoadReport {
        loads = List.copyOf(loads);
        prompts = List.copyOf(prompts);
    }
}
