package org.wigeonferry.decisions;

import java.util.List;
import java.util.Optional;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ModelVersion;

/**
 * Finds the roll-outs that a catalog shows to be under way.
 *
 * <p>All of a roll-out's state is in the catalog, so that whoever takes over goes on with it.
 * Stateless and thread safe.
 */
public final class RollOuts {
    private static final int ALL = 100;

    private RollOuts() {}

    /** Versions that a part of the requests may reach. */
    public static List<ModelVersion> partiallyExposedVersions(Catalog catalog) {
        return catalog.versions().values().stream()
                .filter(version -> !version.withdrawn())
                .filter(version -> version.exposurePercent() > 0)
                .filter(version -> version.exposurePercent() < ALL)
                .toList();
    }

    /** The version that a roll-out is to replace. */
    public static Optional<ModelVersion> baseline(ModelVersion candidate, Catalog catalog) {
        return catalog.versions().values().stream()
                .filter(version -> version.model().equals(candidate.model()))
                .filter(version -> !version.withdrawn())
                .filter(version -> version.exposurePercent() == ALL)
                .findFirst();
    }
}
