package org.wigeonferry.decisions;

import java.util.function.Predicate;
import org.wigeonferry.core_types.ClientAccount;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.RequestId;

/**
 * Small tests of versions, to be combined.
 *
 * <p>Stateless and thread safe.
 */
final class VersionPredicates {
    private static final int PERCENT = 100;

    private VersionPredicates() {}

    /** Versions that the account allows. */
    static Predicate<ModelVersion> allowedTo(ClientAccount account) {
        return version -> account.versions().contains(version.id());
    }

    /** Versions that were not withdrawn. */
    static Predicate<ModelVersion> notWithdrawn() {
        return version -> !version.withdrawn();
    }

    /** Versions that are exposed to the request; the same request gets the same answer. */
    static Predicate<ModelVersion> exposedTo(RequestId request) {
        return version -> bucket(request, version) < version.exposurePercent();
    }

    /** Versions that every request may reach. */
    static Predicate<ModelVersion> fullyExposed() {
        return version -> version.exposurePercent() == PERCENT;
    }

    /** Versions that some request may reach. */
    static Predicate<ModelVersion> exposedToSome() {
        return version -> version.exposurePercent() > 0;
    }

    /** Versions that the caller named, by version or by model. */
    static Predicate<ModelVersion> hasModelOrVersionName(String name) {
        return version -> version.model().equals(name) || version.id().value().equals(name);
    }

    private static long bucket(RequestId request, ModelVersion version) {
        long weight = RendezvousHash.weight(request.value(), version.id().value());
        return Long.remainderUnsigned(weight, PERCENT);
    }
}
