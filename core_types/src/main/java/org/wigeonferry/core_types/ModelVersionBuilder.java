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
    private double expectedQuality = 0.5;
    private boolean withdrawn = false;
    private Optional<VersionId> successor = Optional.empty();
    private int exposurePercent = 100;

    ModelVersionBuilder() {}

    /** Sets the name of the version. */
    public ModelVersionBuilder id(VersionId value) {
        this.id = value;
        return this;
    }

    /** Sets the model that callers ask for. */
    public ModelVersionBuilder model(String value) {
        this.model = value;
        return this;
    }

    /** Sets cost of one generated token in millionths of the billing currency. */
    public ModelVersionBuilder costMicrosPerToken(long value) {
        this.costMicrosPerToken = value;
        return this;
    }

    /** Sets expected rating of an answer before any was seen, 0 to 1. */
    public ModelVersionBuilder expectedQuality(double value) {
        this.expectedQuality = value;
        return this;
    }

    /** Sets whether the version receives no new work. */
    public ModelVersionBuilder withdrawn(boolean value) {
        this.withdrawn = value;
        return this;
    }

    /** Sets the version that takes over the sessions of a withdrawn one. */
    public ModelVersionBuilder successor(Optional<VersionId> value) {
        this.successor = value;
        return this;
    }

    /** Sets share of eligible requests that may reach the version, in percent. */
    public ModelVersionBuilder exposurePercent(int value) {
        this.exposurePercent = value;
        return this;
    }

    /** Builds the value; fails on a field that breaks an invariant of {@link ModelVersion}. */
    public ModelVersion build() {
        return new ModelVersion(
                id,
                model,
                costMicrosPerToken,
                expectedQuality,
                withdrawn,
                successor,
                exposurePercent);
    }
}
