package org.wigeonferry.core_types;

import java.util.Optional;
import java.util.function.Predicate;

/**
 * Builds a {@link AdmissionState}.
 *
 * <p>Not thread safe; a builder belongs to the thread that made it.
 */
public final class AdmissionStateBuilder {
    private Catalog catalog = Catalog.EMPTY;
    private Optional<Upstream> upstream = Optional.empty();
    private boolean configUpToDate = true;
    private boolean stopping = false;
    private boolean hostDraining = false;
    private int inFlight = 0;
    private int concurrencyLimit = 1;
    private boolean suspectInFlight = false;
    private Predicate<String> isPoison = digest -> false;
    private Predicate<String> isSuspected = digest -> false;

    AdmissionStateBuilder() {}

    /** Sets newest configuration of this agent. */
    public AdmissionStateBuilder catalog(Catalog value) {
        this.catalog = value;
        return this;
    }

    /** Sets this agent's upstream, if configured. */
    public AdmissionStateBuilder upstream(Optional<Upstream> value) {
        this.upstream = value;
        return this;
    }

    /** Sets whether the configuration is known to be recent enough to admit work by. */
    public AdmissionStateBuilder configUpToDate(boolean value) {
        this.configUpToDate = value;
        return this;
    }

    /** Sets whether the process is stopping. */
    public AdmissionStateBuilder stopping(boolean value) {
        this.stopping = value;
        return this;
    }

    /** Sets whether the platform or the upstream itself says that it is leaving. */
    public AdmissionStateBuilder hostDraining(boolean value) {
        this.hostDraining = value;
        return this;
    }

    /** Sets attempts admitted and not finished. */
    public AdmissionStateBuilder inFlight(int value) {
        this.inFlight = value;
        return this;
    }

    /** Sets most attempts that the upstream bears now. */
    public AdmissionStateBuilder concurrencyLimit(int value) {
        this.concurrencyLimit = value;
        return this;
    }

    /** Sets whether a suspected request is in flight. */
    public AdmissionStateBuilder suspectInFlight(boolean value) {
        this.suspectInFlight = value;
        return this;
    }

    /** Sets tells condemned digests. */
    public AdmissionStateBuilder isPoison(Predicate<String> value) {
        this.isPoison = value;
        return this;
    }

    /** Sets tells suspected digests. */
    public AdmissionStateBuilder isSuspected(Predicate<String> value) {
        this.isSuspected = value;
        return this;
    }

    /** Builds the value; fails on a field that breaks an invariant of {@link AdmissionState}. */
    public AdmissionState build() {
        return new AdmissionState(
                catalog,
                upstream,
                configUpToDate,
                stopping,
                hostDraining,
                inFlight,
                concurrencyLimit,
                suspectInFlight,
                isPoison,
                isSuspected);
    }
}
