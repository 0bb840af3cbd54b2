package org.wigeonferry.entry;

import java.util.Optional;
import org.wigeonferry.core_types.ServiceId;
import org.wigeonferry.core_types.VersionId;

/**
 * What an attempt is to run: a version or an operation of a plain service.
 *
 * <p>Immutable and thread safe.
 *
 * @param version the version, for a model
 * @param service the service, for a plain service
 * @param operation method and path, for a plain service
 */
record AttemptTarget(Optional<VersionId> version, Optional<ServiceId> service, String operation) {
    static AttemptTarget ofVersion(VersionId version) {
        return new AttemptTarget(Optional.of(version), Optional.empty(), "");
    }

    static AttemptTarget ofService(ServiceId service, String operation) {
        return new AttemptTarget(Optional.empty(), Optional.of(service), operation);
    }
}
