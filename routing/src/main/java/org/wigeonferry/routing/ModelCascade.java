package org.wigeonferry.routing;

import java.util.List;
import java.util.Optional;

/**
 * Asks the smallest model first, and the largest if the small one doubts its answer.
 *
 * <p>The models between cost much more than the smallest and answer little more. A stream that has
 * begun stays with its model. Immutable and thread safe.
 */
public final class ModelCascade implements ModelChoice {
    private final int acceptFrom;

    /** Takes a small model's answer from this confidence on, 0 to 100. */
    public ModelCascade(int acceptFrom) {
        this.acceptFrom = acceptFrom;
    }

    @Override
    public ModelStep choose(Job job, boolean mayRepeat) {
        Optional<String> named = job.request().model();
        List<String> models = job.route().models();
        if (named.isPresent() || models.isEmpty()) {
            return new ModelStep(named, 0);
        }
        if (job.doubted()) {
            return new ModelStep(Optional.of(models.get(models.size() - 1)), 0);
        }
        boolean may = mayRepeat && job.route().kind().repeatable() && models.size() > 1;
        return new ModelStep(Optional.of(models.get(0)), may ? acceptFrom : 0);
    }
}
