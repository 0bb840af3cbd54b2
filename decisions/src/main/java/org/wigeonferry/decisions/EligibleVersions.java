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

    /** The versions that the account, the configuration and the roll-out allow the request. */
    public static List<ModelVersion> forQuery(StageQuery query, Catalog catalog) {
        Map<String, List<ModelVersion>> byModel =
                catalog.versions().values().stream()
                        .filter(VersionPredicates.allowedTo(query.account()))
                        .filter(VersionPredicates.notWithdrawn())
                        .filter(version -> matches(query, version))
                        .collect(Collectors.groupingBy(ModelVersion::model));
        return byModel.values().stream()
                .flatMap(versions -> ofModel(query, versions).stream())
                .sorted(
                        Comparator.comparingLong(ModelVersion::costMicrosPerToken)
                                .thenComparing(version -> version.id().value()))
                .toList();
    }

    /**
     * One version of a model. The share that a roll-out exposes holds as long as a fully exposed
     * version is there for the other requests; without one the roll-out's version serves them all.
     */
    private static Optional<ModelVersion> ofModel(StageQuery query, List<ModelVersion> versions) {
        boolean fullyExposed = versions.stream().anyMatch(VersionPredicates.fullyExposed());
        Predicate<ModelVersion> exposed =
                fullyExposed
                        ? VersionPredicates.exposedTo(query.requestId())
                        : VersionPredicates.exposedToSome();
        return versions.stream().filter(exposed).reduce(preferRollOut());
    }

    /** Follows a session's version to its successor, if it was withdrawn. */
    public static Optional<ModelVersion> resolveSessionVersion(VersionId session, Catalog catalog) {
        Set<VersionId> seen = new HashSet<>();
        Optional<ModelVersion> version = catalog.version(session);
        while (version.filter(ModelVersion::withdrawn).isPresent()
                && seen.add(version.get().id())) {
            version = version.get().successor().flatMap(catalog::version);
        }
        return version.filter(VersionPredicates.notWithdrawn());
    }

    private static boolean matches(StageQuery query, ModelVersion version) {
        return query.requestedModel()
                .map(name -> VersionPredicates.hasModelOrVersionName(name).test(version))
                .orElse(true);
    }

    /** Of two versions of a model, prefers the one whose roll-out goes on. */
    private static BinaryOperator<ModelVersion> preferRollOut() {
        return BinaryOperator.minBy(
                Comparator.comparingInt(ModelVersion::exposurePercent)
                        .thenComparing(
                                Comparator.comparing((ModelVersion v) -> v.id().value())
                                        .reversed()));
    }
}
