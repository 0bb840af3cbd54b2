package org.wigeonferry.decisions;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BinaryOperator;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.VersionId;

/**
 * Finds the versions that may answer a request: at most one of each model, cheapest first.
 *
 * <p>Stateless and thread safe.
 */
public final class EligibleVersions {
    private EligibleVersions() {}

    /**
     * Versions that may answer the request: the account may use them, they are not withdrawn, they
     * match the requested model, and their exposure covers the request.
     */
    public static List<ModelVersion> forQuery(StageQuery query, Catalog catalog) {
        Map<String, List<ModelVersion>> byModel =
                catalog.versions().values().stream()
                        .filter(VersionPredicates.allowedTo(query.account()))
                        .filter(VersionPredicates.notWithdrawn())
                        .filter(version -> matchesRequestedModel(query, version))
                        .collect(Collectors.groupingBy(ModelVersion::model));
        return byModel.values().stream()
                .flatMap(versions -> selectVersion(query, versions).stream())
                .sorted(
                        Comparator.comparingLong(ModelVersion::costMicrosPerToken)
                                .thenComparing(version -> version.id().value()))
                .toList();
    }

    /**
     * Selects the version of a model that answers the request. While the model has a fully exposed
     * version, a partially exposed version serves only its share of requests. Otherwise the version
     * with the lowest exposure above 0 serves all of them, since no fully exposed version could.
     */
    private static Optional<ModelVersion> selectVersion(
            StageQuery query, List<ModelVersion> versions) {
        boolean hasFullyExposed = versions.stream().anyMatch(VersionPredicates.fullyExposed());
        Predicate<ModelVersion> exposed =
                hasFullyExposed
                        ? VersionPredicates.exposedTo(query.requestId())
                        : VersionPredicates.exposedToSome();
        return versions.stream().filter(exposed).reduce(preferLowerExposure());
    }

    /**
     * Version that serves a session: its own or, if that is withdrawn, the first successor that
     * isn't. Empty if there is none, also if the successors form a cycle.
     */
    public static Optional<ModelVersion> resolveSessionVersion(
            VersionId sessionVersion, Catalog catalog) {
        Set<VersionId> seen = new HashSet<>();
        Optional<ModelVersion> version = catalog.version(sessionVersion);
        while (version.filter(ModelVersion::withdrawn).isPresent()
                && seen.add(version.get().id())) {
            version = version.get().successor().flatMap(catalog::version);
        }
        return version.filter(VersionPredicates.notWithdrawn());
    }

    private static boolean matchesRequestedModel(StageQuery query, ModelVersion version) {
        return query.requestedModel()
                .map(name -> VersionPredicates.hasModelOrVersionName(name).test(version))
                .orElse(true);
    }

    /** Prefers the version with the lower exposure; ties go to the greater id. */
    private static BinaryOperator<ModelVersion> preferLowerExposure() {
        return BinaryOperator.minBy(
                Comparator.comparingInt(ModelVersion::exposurePercent)
                        .thenComparing(
                                Comparator.comparing((ModelVersion v) -> v.id().value())
                                        .reversed()));
    }
}
