package org.wigeonferry.decisions;

import java.util.Optional;
import java.util.Set;
import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.ServiceId;
import org.wigeonferry.core_types.UpstreamId;
import org.wigeonferry.core_types.VersionId;

/**
 * Asks for an upstream for one attempt.
 *
 * <p>Immutable and thread safe.
 *
 * @param account the client account that pays
 * @param version the version to run, for a model
 * @param service the service to call, for a plain service
 * @param triedUpstreams upstreams that refused or failed already
 */
public record RouteQuery(
        AccountId account,
        Optional<VersionId> version,
        Optional<ServiceId> service,
        Set<UpstreamId> triedUpstreams) {
    /** Copies the set. */
    public RouteQuery {
        triedUpstreams = Set.copyOf(triedUpstreams);
    }
}
