package org.wigeonferry.entry;

import java.util.Optional;
import org.wigeonferry.core_types.ServiceId;
import org.wigeonferry.core_types.VersionId;

/**
 * What an attempt runs: a model version, or an operation of a non-model service.
 *
 * <p>Immutable and thread safe.
 *
 * @param version the model version; empty for a non-model service
 * @param service the non-model service; empty for a model version
 * @param operation method and path of the service call; empty string for a model version
 */
record AttemptTarget(Optional<VersionId> version, Optional<ServiceId> service, String operation) {
    static AttemptTarget ofVersion(VersionId version) {
        return new AttemptTarget(Optional.of(version), Optional.empty(), "");
    }

    static AttemptTarget ofService(ServiceId service, String operation) {
        return new AttemptTarget(Optional.empty(), Optional.of(service), operation);
    }
}
