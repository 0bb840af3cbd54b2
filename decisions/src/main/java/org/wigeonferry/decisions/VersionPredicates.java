package org.wigeonferry.decisions;

import java.util.function.Predicate;
import org.wigeonferry.core_types.ClientAccount;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.RequestId;

/**
 * Predicates on model versions.
 *
 * <p>Stateless and thread safe.
 */
final class VersionPredicates {
    private static final int FULL_EXPOSURE_PERCENT = 100;

    private VersionPredicates() {}

    /** Matches versions that the client account may use. */
    static Predicate<ModelVersion> allowedTo(ClientAccount account) {
        return version -> account.versions().contains(version.id());
    }

    /** Matches versions that were not withdrawn, whatever their exposure. */
    static Predicate<ModelVersion> notWithdrawn() {
        return version -> !version.withdrawn();
    }

    /** Matches versions exposed to the request, always the same ones for the same request. */
    static Predicate<ModelVersion> exposedTo(RequestId request) {
        return version -> exposureBucket(request, version) < version.exposurePercent();
    }

    /** Matches versions that are exposed to all requests. */
    static Predicate<ModelVersion> fullyExposed() {
        return version -> version.exposurePercent() == FULL_EXPOSURE_PERCENT;
    }

    /** Matches versions that are exposed to some or all requests. */
    static Predicate<ModelVersion> exposedToSome() {
        return version -> version.exposurePercent() > 0;
    }

    /** Matches the version, or the versions of the model, with this name. */
    static Predicate<ModelVersion> hasModelOrVersionName(String name) {
        return version -> version.model().equals(name) || version.id().value().equals(name);
    }

    /** Bucket of the request for the version, from 0 to 99; exposure covers the lowest ones. */
    private static long exposureBucket(RequestId request, ModelVersion version) {
        long weight = RendezvousHash.weight(request.value(), version.id().value());
        return Long.remainderUnsigned(weight, FULL_EXPOSURE_PERCENT);
    }
}
