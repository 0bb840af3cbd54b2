package org.wigeonferry.decisions;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BinaryOperator;
import java.util.stream.Collectors;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.VersionId;

/**
 * Finds the versions that may answer a request: at most one of each model, cheapest first.
 *
 * <p>Stateless and thread safe.
 */
public final class VersionChoice {
    private VersionChoice() {}

    /** The versions that the account, the configuration and the roll-out allow the request. */
    public static List<ModelVersion> eligible(StageQuery query, Catalog catalog) {
        Collection<ModelVersion> onePerModel =
                catalog.versions().values().stream()
                        .filter(VersionPredicates.allowedTo(query.account()))
                        .filter(VersionPredicates.active())
                        .filter(VersionPredicates.exposedTo(query.requestId()))
                        .filter(version -> matches(query, version))
                        .collect(Collectors.toMap(ModelVersion::model, v -> v, preferRollOut()))
                        .values();
        return onePerModel.stream()
                .sorted(
                        Comparator.comparingLong(ModelVersion::costMicrosPerToken)
                                .thenComparing(version -> version.id().value()))
                .toList();
    }

    /** Follows a session's version to its successor, if it was withdrawn. */
    public static Optional<ModelVersion> successor(VersionId session, Catalog catalog) {
        Set<VersionId> seen = new HashSet<>();
        Optional<ModelVersion> version = catalog.version(session);
        while (version.filter(ModelVersion::withdrawn).isPresent()
                && seen.add(version.get().id())) {
            version = version.get().successor().flatMap(catalog::version);
        }
        return version.filter(VersionPredicates.active());
    }

    private static boolean matches(StageQuery query, ModelVersion version) {
        return query.model().map(name -> VersionPredicates.named(name).test(version)).orElse(true);
    }

    /** Of two versions of a model, prefers the one whose roll-out goes on. */
    private static BinaryOperator<ModelVersion> preferRollOut() {
        return BinaryOperator.minBy(
                Comparator.comparingInt(ModelVersion::exposurePercent)
                        .thenComparing(
                                Comparator.comparing((ModelVersion v) -> v.id().value())
                                        .reversed()));
    }

    /** The versions by name. */
    static Map<VersionId, ModelVersion> byName(Collection<ModelVersion> versions) {
        return versions.stream().collect(Collectors.toMap(ModelVersion::id, v -> v));
    }
}
