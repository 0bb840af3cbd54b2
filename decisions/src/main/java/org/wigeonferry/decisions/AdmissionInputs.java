package org.wigeonferry.decisions;

import org.wigeonferry.core_types.Catalog;

/**
 * What an agent knows of its surroundings when it decides on an order.
 *
 * <p>Immutable and thread safe.
 *
 * @param catalog newest configuration
 * @param configUpToDate whether that configuration is recent enough to admit work by
 * @param stopping whether the process is stopping
 * @param hostDraining whether the platform or the upstream itself says that it is leaving
 */
public record AdmissionInputs(
        Catalog catalog, boolean configUpToDate, boolean stopping, boolean hostDraining) {}
