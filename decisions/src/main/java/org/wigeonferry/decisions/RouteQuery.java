package org.wigeonferry.decisions;

import java.util.Optional;
import java.util.Set;
import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.ServiceId;
import org.wigeonferry.core_types.UpstreamId;
import org.wigeonferry.core_types.VersionId;

/**
 * Requirements on the upstream of one attempt.
 *
 * <p>Either {@code version} or {@code service} must be present. Immutable and thread safe.
 *
 * @param account the client account that is billed
 * @param version the model version to run, unless the target is a service
 * @param service the non-model service to call, unless the target is a version
 * @param triedUpstreams upstreams that have refused or failed the request
 */
public record RouteQuery(
        AccountId account,
        Optional<VersionId> version,
        Optional<ServiceId> service,
        Set<UpstreamId> triedUpstreams) {
    public RouteQuery {
        triedUpstreams = Set.copyOf(triedUpstreams);
    }
}
