package org.wigeonferry.core_types;

import java.util.Optional;
import java.util.function.Predicate;

/**
 * Builds a {@link GateView}.
 *
 * <p>Not thread safe; a builder belongs to the thread that made it.
 */
public final class GateViewBuilder {
    private Catalog catalog = Catalog.EMPTY;
    private Optional<Upstream> upstream = Optional.empty();
    private boolean fresh = true;
    private boolean stopping = false;
    private boolean hostLeaving = false;
    private int inFlight = 0;
    private int limit = 1;
    private boolean suspectInFlight = false;
    private Predicate<String> condemned = digest -> false;
    private Predicate<String> suspected = digest -> false;

    GateViewBuilder() {}

    /** Sets newest configuration of this agent. */
    public GateViewBuilder catalog(Catalog value) {
        this.catalog = value;
        return this;
    }

    /** Sets this agent's upstream, if configured. */
    public GateViewBuilder upstream(Optional<Upstream> value) {
        this.upstream = value;
        return this;
    }

    /** Sets whether the configuration is known to be recent enough to admit work by. */
    public GateViewBuilder fresh(boolean value) {
        this.fresh = value;
        return this;
    }

    /** Sets whether the process is stopping. */
    public GateViewBuilder stopping(boolean value) {
        this.stopping = value;
        return this;
    }

    /** Sets whether the platform or the upstream itself says that it is leaving. */
    public GateViewBuilder hostLeaving(boolean value) {
        this.hostLeaving = value;
        return this;
    }

    /** Sets attempts admitted and not finished. */
    public GateViewBuilder inFlight(int value) {
        this.inFlight = value;
        return this;
    }

    /** Sets most attempts that the upstream bears now. */
    public GateViewBuilder limit(int value) {
        this.limit = value;
        return this;
    }

    /** Sets whether a suspected request is in flight. */
    public GateViewBuilder suspectInFlight(boolean value) {
        this.suspectInFlight = value;
        return this;
    }

    /** Sets tells condemned digests. */
    public GateViewBuilder condemned(Predicate<String> value) {
        this.condemned = value;
        return this;
    }

    /** Sets tells suspected digests. */
    public GateViewBuilder suspected(Predicate<String> value) {
        this.suspected = value;
        return this;
    }

    /** Builds the value; fails on a field that breaks an invariant of {@link GateView}. */
    public GateView build() {
        return new GateView(
                catalog,
                upstream,
                fresh,
                stopping,
                hostLeaving,
                inFlight,
                limit,
                suspectInFlight,
                condemned,
                suspected);
    }
}
