package org.wigeonferry.router;

import java.util.List;
import org.wigeonferry.routing.OwnLoad;

/**
 * All that one router has under way at the upstreams.
 *
 * <p>Immutable and thread safe.
 *
 * @param sequence rises with each report of a router, also over its restarts
 */
record LoadReport(String router, long sequence, List<OwnLoad> loads) {
    LoadReport {
        loads = List.copyOf(loads);
    }
}
