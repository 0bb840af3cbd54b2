package org.wigeonferry.decisions;

import java.util.List;
import java.util.Optional;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ModelVersion;

/**
 * Finds the roll-outs that are in progress according to a catalog.
 *
 * <p>The state of a roll-out is stored in the catalog only, so that another process can continue
 * it. Stateless and thread safe.
 */
public final class RollOuts {
    private static final int FULL_EXPOSURE_PERCENT = 100;

    private RollOuts() {}

    /** Versions in service that are exposed to some, but not all, requests. */
    public static List<ModelVersion> partiallyExposedVersions(Catalog catalog) {
        return catalog.versions().values().stream()
                .filter(version -> !version.withdrawn())
                .filter(version -> version.exposurePercent() > 0)
                .filter(version -> version.exposurePercent() < FULL_EXPOSURE_PERCENT)
                .toList();
    }

    /**
     * The fully exposed version that the roll-out replaces; the first found if there are several.
     */
    public static Optional<ModelVersion> baseline(ModelVersion candidate, Catalog catalog) {
        return catalog.versions().values().stream()
                .filter(version -> version.model().equals(candidate.model()))
                .filter(version -> !version.withdrawn())
                .filter(version -> version.exposurePercent() == FULL_EXPOSURE_PERCENT)
                .findFirst();
    }
}
