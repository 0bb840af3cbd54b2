package org.wigeonferry.core_types;

import java.util.Optional;
import java.util.function.Predicate;

/**
 * State of an agent on which its admission rules decide.
 *
 * <p>Immutable and thread safe.
 *
 * @param catalog the newest configuration that the agent has
 * @param upstream the agent's upstream; empty if the catalog does not list it
 * @param configUpToDate whether the catalog was confirmed within the freshness bound, the maximum
 *     age of a configuration by which work is admitted
 * @param stopping whether the agent process is shutting down
 * @param hostDraining whether the platform or the upstream itself has announced that the upstream
 *     is draining; separate from {@link Upstream#draining}, which operators set
 * @param attemptsInFlight number of attempts that were admitted and have not ended
 * @param concurrencyLimit maximum concurrent attempts on the upstream at present
 * @param suspectedRequestInFlight whether an attempt of a suspected request is in flight
 * @param isPoison true for the digest of a poison request, one that is known to crash upstreams
 * @param isSuspected true for the digest of a suspected request, one that may crash upstreams
 */
public record AdmissionState(
        Catalog catalog,
        Optional<Upstream> upstream,
        boolean configUpToDate,
        boolean stopping,
        boolean hostDraining,
        int attemptsInFlight,
        int concurrencyLimit,
        boolean suspectedRequestInFlight,
        Predicate<String> isPoison,
        Predicate<String> isSuspected) {

    /**
     * Returns a builder; by default the catalog is empty and counts as up to date, nothing is in
     * flight, and one attempt may run.
     */
    public static AdmissionStateBuilder builder() {
        return new AdmissionStateBuilder();
    }

    /** Returns a builder initialised with the fields of this record. */
    public AdmissionStateBuilder toBuilder() {
        return new AdmissionStateBuilder()
                .catalog(catalog)
                .upstream(upstream)
                .configUpToDate(configUpToDate)
                .stopping(stopping)
                .hostDraining(hostDraining)
                .attemptsInFlight(attemptsInFlight)
                .concurrencyLimit(concurrencyLimit)
                .suspectedRequestInFlight(suspectedRequestInFlight)
                .isPoison(isPoison)
                .isSuspected(isSuspected);
    }
}
