package org.wigeonferry.routing;

/**
 * Picks the model of a send.
 *
 * <p>Implementations are called on the control thread.
 */
@FunctionalInterface
public interface ModelSelector {
    /**
     * Picks a model.
     *
     * @param mayRepeat whether an answer in doubt may be dropped for another model's
     */
    ModelSelection select(Job job, boolean mayRepeat);
}
