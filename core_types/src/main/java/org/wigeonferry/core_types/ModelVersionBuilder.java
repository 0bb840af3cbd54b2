package org.wigeonferry.core_types;

import java.util.Optional;

/**
 * Builds a {@link ModelVersion}.
 *
 * <p>Not thread safe; a builder belongs to the thread that made it.
 */
public final class ModelVersionBuilder {
    private VersionId id;
    private String model = "";
    private long costMicrosPerToken = 1;
    private double expectedRating = 0.5;
    private boolean withdrawn = false;
    private Optional<VersionId> successor = Optional.empty();
    private int exposurePercent = 100;

    ModelVersionBuilder() {}

    /** Sets the id of the version. */
    public ModelVersionBuilder id(VersionId value) {
        this.id = value;
        return this;
    }

    /** Sets the model name that callers request. */
    public ModelVersionBuilder model(String value) {
        this.model = value;
        return this;
    }

    /** Sets the cost of one output token in millionths of the billing currency; 1 by default. */
    public ModelVersionBuilder costMicrosPerToken(long value) {
        this.costMicrosPerToken = value;
        return this;
    }

    /** Sets the prior mean of the ratings of its answers, 0 to 1; 0.5 by default. */
    public ModelVersionBuilder expectedRating(double value) {
        this.expectedRating = value;
        return this;
    }

    /** Sets whether a release note has removed the version from service. */
    public ModelVersionBuilder withdrawn(boolean value) {
        this.withdrawn = value;
        return this;
    }

    /** Sets the version that serves the sessions of this one once it is withdrawn. */
    public ModelVersionBuilder successor(Optional<VersionId> value) {
        this.successor = value;
        return this;
    }

    /** Sets the percentage of requests that may use the version; 100 by default. */
    public ModelVersionBuilder exposurePercent(int value) {
        this.exposurePercent = value;
        return this;
    }

    /**
     * Builds the version.
     *
     * @throws IllegalArgumentException if the expected quality or the exposure is out of range
     */
    public ModelVersion build() {
        return new ModelVersion(
                id,
                model,
                costMicrosPerToken,
                expectedRating,
                withdrawn,
                successor,
                exposurePercent);
    }
}
