package org.wigeonferry.core_types;

import java.util.Optional;
import java.util.function.Predicate;

/**
 * Builds an {@link AdmissionState}.
 *
 * <p>Not thread safe; a builder belongs to the thread that made it.
 */
public final class AdmissionStateBuilder {
    private Catalog catalog = Catalog.EMPTY;
    private Optional<Upstream> upstream = Optional.empty();
    private boolean configUpToDate = true;
    private boolean stopping = false;
    private boolean hostDraining = false;
    private int attemptsInFlight = 0;
    private int concurrencyLimit = 1;
    private boolean suspectedRequestInFlight = false;
    private Predicate<String> isPoison = digest -> false;
    private Predicate<String> isSuspected = digest -> false;

    AdmissionStateBuilder() {}

    /** Sets the newest configuration that the agent has. */
    public AdmissionStateBuilder catalog(Catalog value) {
        this.catalog = value;
        return this;
    }

    /** Sets the agent's upstream; empty if the catalog does not list it. */
    public AdmissionStateBuilder upstream(Optional<Upstream> value) {
        this.upstream = value;
        return this;
    }

    /** Sets whether the catalog was confirmed within the freshness bound. */
    public AdmissionStateBuilder configUpToDate(boolean value) {
        this.configUpToDate = value;
        return this;
    }

    /** Sets whether the agent process is shutting down. */
    public AdmissionStateBuilder stopping(boolean value) {
        this.stopping = value;
        return this;
    }

    /**
     * Sets whether the platform or the upstream itself has announced that the upstream is draining.
     */
    public AdmissionStateBuilder hostDraining(boolean value) {
        this.hostDraining = value;
        return this;
    }

    /** Sets the number of attempts that were admitted and have not ended. */
    public AdmissionStateBuilder attemptsInFlight(int value) {
        this.attemptsInFlight = value;
        return this;
    }

    /** Sets the maximum concurrent attempts on the upstream at present. */
    public AdmissionStateBuilder concurrencyLimit(int value) {
        this.concurrencyLimit = value;
        return this;
    }

    /** Sets whether an attempt of a suspected request is in flight. */
    public AdmissionStateBuilder suspectedRequestInFlight(boolean value) {
        this.suspectedRequestInFlight = value;
        return this;
    }

    /** Sets the test for request digests of poison requests. */
    public AdmissionStateBuilder isPoison(Predicate<String> value) {
        this.isPoison = value;
        return this;
    }

    /** Sets the test for request digests of suspected requests. */
    public AdmissionStateBuilder isSuspected(Predicate<String> value) {
        this.isSuspected = value;
        return this;
    }

    /** Builds the state without checking its fields. */
    public AdmissionState build() {
        return new AdmissionState(
                catalog,
                upstream,
                configUpToDate,
                stopping,
                hostDraining,
                attemptsInFlight,
                concurrencyLimit,
                suspectedRequestInFlight,
                isPoison,
                isSuspected);
    }
}
