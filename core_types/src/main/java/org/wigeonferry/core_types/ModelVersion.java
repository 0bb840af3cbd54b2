package org.wigeonferry.core_types;

import java.util.Optional;

/**
 * One version of a model that upstreams may run.
 *
 * <p>Immutable and thread safe.
 *
 * @param id the id of the version
 * @param model the model name that callers request
 * @param costMicrosPerToken cost of one output token in millionths of the billing currency
 * @param expectedRating prior mean of the ratings of its answers, 0 to 1; it counts less as ratings
 *     arrive
 * @param withdrawn whether a release note has removed the version from service
 * @param successor the version that serves the sessions of this one once it is withdrawn
 * @param exposurePercent percentage of requests, selected by request id, that may use the version
 *     during its roll-out; 0 for none. If no eligible version of the model is exposed at 100
 *     percent, every request uses the one with the lowest exposure above 0
 */
public record ModelVersion(
        VersionId id,
        String model,
        long costMicrosPerToken,
        double expectedRating,
        boolean withdrawn,
        Optional<VersionId> successor,
        int exposurePercent) {
    public ModelVersion {

        if (exposurePercent < 0 || exposurePercent > 100) {
            throw new IllegalArgumentException(
                    "exposure-percent must be 0 to 100, was " + exposurePercent);
        }
        if (!(expectedRating >= 0 && expectedRating <= 1)) {
            throw new IllegalArgumentException(
                    "expected-quality must be 0 to 1, was " + expectedRating);
        }
    }

    /** Returns a builder; the id must be set. By default every request may reach the version. */
    public static ModelVersionBuilder builder() {
        return new ModelVersionBuilder();
    }

    /** Returns a builder initialised with the fields of this record. */
    public ModelVersionBuilder toBuilder() {
        return new ModelVersionBuilder()
                .id(id)
                .model(model)
                .costMicrosPerToken(costMicrosPerToken)
                .expectedRating(expectedRating)
                .withdrawn(withdrawn)
                .successor(successor)
                .exposurePercent(exposurePercent);
    }
}
