package org.wigeonferry.routing;

import java.util.List;
import java.util.Optional;

/**
 * Asks the smallest model first, and the largest if the small one doubts its answer.
 *
 * <p>The models between cost much more than the smallest and answer little more. A stream that has
 * begun stays with its model. Immutable and thread safe.
 */
public final class ModelCascade implements ModelSelector {
    private final int acceptFrom;

    /** Takes a small model's answer from this confidence on, 0 to 100. */
    public ModelCascade(int acceptFrom) {
        this.acceptFrom = acceptFrom;
    }

    @Override
    public ModelSelection select(Job job, boolean mayRepeat) {
        Optional<String> named = job.request().model();
        List<String> models = job.route().models();
        if (named.isPresent() || models.isEmpty()) {
            return new ModelSelection(named, 0);
        }
        if (job.lowConfidenceAnswerDropped()) {
            return new ModelSelection(Optional.of(models.get(models.size() - 1)), 0);
        }
        boolean may = mayRepeat && job.route().kind().isRepeatable() && models.size() > 1;
        return new ModelSelection(Optional.of(models.get(0)), may ? acceptFrom : 0);
    }
}
