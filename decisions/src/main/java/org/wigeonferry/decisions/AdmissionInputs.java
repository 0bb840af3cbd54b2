package org.wigeonferry.decisions;

import org.wigeonferry.core_types.Catalog;

/**
 * State of the agent's process and host that the admission of an attempt depends on.
 *
 * <p>Immutable and thread safe.
 *
 * @param catalog newest configuration that the agent has
 * @param configUpToDate whether that configuration is recent enough to admit work
 * @param stopping whether the process is stopping
 * @param hostDraining whether the platform or the upstream itself has announced that the upstream
 *     is draining
 */
public record AdmissionInputs(
        Catalog catalog, boolean configUpToDate, boolean stopping, boolean hostDraining) {}
