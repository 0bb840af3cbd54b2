package org.wigeonferry.routing;

/**
 * Chooses which model a send asks for.
 *
 * <p>Implementations are called on the control thread.
 */
@FunctionalInterface
public interface ModelSelector {
    /**
     * Chooses the model, and the lowest confidence with which its answer is delivered.
     *
     * @param mayRetryLowConfidence whether an answer of low confidence may be dropped and the
     *     request sent to another model
     */
    ModelSelection select(Job job, boolean mayRetryLowConfidence);
}
