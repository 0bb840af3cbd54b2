package org.wigeonferry.core_types;

import java.util.Optional;

/**
 * One version of a model that upstreams may run.
 *
 * <p>Immutable and thread safe.
 *
 * @param id the name of the version
 * @param model the model that callers ask for
 * @param costMicrosPerToken cost of one generated token in millionths of the billing currency
 * @param expectedQuality expected rating of an answer before any was seen, 0 to 1
 * @param withdrawn whether the version receives no new work
 * @param successor the version that takes over the sessions of a withdrawn one
 * @param exposurePercent share of eligible requests that may reach the version, in percent
 */
public record ModelVersion(
        VersionId id,
        String model,
        long costMicrosPerToken,
        double expectedQuality,
        boolean withdrawn,
        Optional<VersionId> successor,
        int exposurePercent) {
    public ModelVersion {

        if (exposurePercent < 0 || exposurePercent > 100) {
            throw new IllegalArgumentException("exposure out of range: " + exposurePercent);
        }
        if (!(expectedQuality >= 0 && expectedQuality <= 1)) {
            throw new IllegalArgumentException("quality out of range: " + expectedQuality);
        }
    }

    /** Starts a builder with the default of every optional field. */
    public static ModelVersionBuilder builder() {
        return new ModelVersionBuilder();
    }

    /** Starts a builder that holds this value's fields. */
    public ModelVersionBuilder toBuilder() {
        return new ModelVersionBuilder()
                .id(id)
                .model(model)
                .costMicrosPerToken(costMicrosPerToken)
                .expectedQuality(expectedQuality)
                .withdrawn(withdrawn)
                .successor(successor)
                .exposurePercent(exposurePercent);
    }
}
