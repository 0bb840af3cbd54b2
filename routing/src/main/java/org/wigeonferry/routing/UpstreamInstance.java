package org.wigeonferry.routing;

import java.time.Duration;
import org.wigeonferry.core_types.HostAddress;

/**
 * One running process of an upstream, as registered in the store.
 *
 * <p>Immutable and thread safe.
 *
 * @param incarnation id and start time of this process
 * @param service service that the upstream belongs to
 * @param zone availability zone that the upstream runs in
 * @param release version of the upstream's software
 * @param slots number of requests that the upstream processes concurrently
 * @param draining whether the upstream takes no new work
 * @param coldTimeLeft how long the upstream stays cold, counted from this registration
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
    /** The id that each request carries and the upstream compares with its own. */
    public String id() {
        return incarnation.id();
    }
}
