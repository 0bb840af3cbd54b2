package org.wigeonferry.core_types;

import java.util.Optional;
import java.util.function.Predicate;

/**
 * What the rules of admission may look at.
 *
 * <p>Immutable and thread safe.
 *
 * @param catalog newest configuration of this agent
 * @param upstream this agent's upstream, if configured
 * @param fresh whether the configuration is known to be recent enough to admit work by
 * @param stopping whether the process is stopping
 * @param hostLeaving whether the platform or the upstream itself says that it is leaving
 * @param inFlight attempts admitted and not finished
 * @param limit most attempts that the upstream bears now
 * @param suspectInFlight whether a suspected request is in flight
 * @param condemned tells condemned digests
 * @param suspected tells suspected digests
 */
public record GateView(
        Catalog catalog,
        Optional<Upstream> upstream,
        boolean fresh,
        boolean stopping,
        boolean hostLeaving,
        int inFlight,
        int limit,
        boolean suspectInFlight,
        Predicate<String> condemned,
        Predicate<String> suspected) {

    /** Starts a builder with the default of every optional field. */
    public static GateViewBuilder builder() {
        return new GateViewBuilder();
    }

    /** Starts a builder that holds this value's fields. */
    public GateViewBuilder toBuilder() {
        return new GateViewBuilder()
                .catalog(catalog)
                .upstream(upstream)
                .fresh(fresh)
                .stopping(stopping)
                .hostLeaving(hostLeaving)
                .inFlight(inFlight)
                .limit(limit)
                .suspectInFlight(suspectInFlight)
                .condemned(condemned)
                .suspected(suspected);
    }
}
