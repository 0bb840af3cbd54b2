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
 * @param configUpToDate whether the configuration is known to be recent enough to admit work by
 * @param stopping whether the process is stopping
 * @param hostDraining whether the platform or the upstream itself says that it is leaving
 * @param inFlight attempts admitted and not finished
 * @param concurrencyLimit most attempts that the upstream bears now
 * @param suspectInFlight whether a suspected request is in flight
 * @param isPoison tells condemned digests
 * @param isSuspected tells suspected digests
 */
public record AdmissionState(
        Catalog catalog,
        Optional<Upstream> upstream,
        boolean configUpToDate,
        boolean stopping,
        boolean hostDraining,
        int inFlight,
        int concurrencyLimit,
        boolean suspectInFlight,
        Predicate<String> isPoison,
        Predicate<String> isSuspected) {

    /** Starts a builder with the default of every optional field. */
    public static AdmissionStateBuilder builder() {
        return new AdmissionStateBuilder();
    }

    /** Starts a builder that holds this value's fields. */
    public AdmissionStateBuilder toBuilder() {
        return new AdmissionStateBuilder()
                .catalog(catalog)
                .upstream(upstream)
                .configUpToDate(configUpToDate)
                .stopping(stopping)
                .hostDraining(hostDraining)
                .inFlight(inFlight)
                .concurrencyLimit(concurrencyLimit)
                .suspectInFlight(suspectInFlight)
                .isPoison(isPoison)
                .isSuspected(isSuspected);
    }
}
