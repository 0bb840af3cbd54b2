package org.wigeonferry.decisions;

import java.util.List;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ModelVersion;

/**
 * Chooses the stages of a request: the model versions that may answer it, in the order in which
 * they run. The first stage always runs; each later one only if the request is escalated to it.
 *
 * <p>Implementations are called on the control thread.
 */
@FunctionalInterface
public interface StagePolicy {
    /** Chooses the stages of the request; empty if no version may answer it. */
    List<ModelVersion> chooseStages(StageQuery query, Catalog catalog);
}
