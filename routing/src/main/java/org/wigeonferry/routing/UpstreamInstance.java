package org.wigeonferry.routing;

import java.time.Duration;
import org.wigeonferry.core_types.HostAddress;

/**
 * One upstream as it describes itself.
 *
 * <p>Immutable and thread safe.
 *
 * @param incarnation identity of one start of the upstream
 * @param release version of its software
 * @param slots requests processed at once
 * @param draining whether it takes no new work
 * @param coldTimeLeft how long it stays cold, as of the description
 */
public record UpstreamInstance(
        Incarnation incarnation,
        HostAddress address,
        String service,
        String zone,
        String release,
        int slots,
        boolean draining,
        Duration coldTimeLeft) {
    /** The id that the upstream checks on each request. */
    public String id() {
        return incarnation.id();
    }
}
