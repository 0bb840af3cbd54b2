package org.wigeonferry.decisions;

import java.util.List;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ModelVersion;

/**
 * Orders the versions that may answer a request; the first starts, the others are for escalation.
 *
 * <p>Implementations are called on the control thread.
 */
@FunctionalInterface
public interface StagePolicy {
    /** The stages; empty if no version is allowed. */
    List<ModelVersion> stages(StageQuery query, Catalog catalog);
}
