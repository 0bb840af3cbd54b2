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
 * @param leaving whether it takes no new work
 * @param coldLeft how long it stays cold, as of the description
 */
public record Upstream(
        Incarnation incarnation,
        HostAddress address,
        String service,
        String zone,
        String release,
        int slots,
        boolean leaving,
        Duration coldLeft) {
    /** The id that the upstream checks on each request. */
    public String id() {
        return incarnation.id();
    }
}
