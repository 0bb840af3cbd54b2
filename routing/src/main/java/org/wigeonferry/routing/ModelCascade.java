package org.wigeonferry.routing;

import java.util.List;
import java.util.Optional;

/**
 * Asks the smallest model first, and the largest if the confidence of the answer is too low.
 *
 * <p>Models of medium size are never asked, since they cost much more than the smallest one and
 * answer few more requests well. A stream that has begun stays with its model. Immutable and thread
 * safe.
 */
public final class ModelCascade implements ModelSelector {
    private final int minConfidence;

    /**
     * Creates a cascade.
     *
     * @param minConfidence lowest confidence, from 0 to 100, with which an answer of the smallest
     *     model is delivered
     */
    public ModelCascade(int minConfidence) {
        this.minConfidence = minConfidence;
    }

    @Override
    public ModelSelection select(Job job, boolean mayRetryLowConfidence) {
        Optional<String> requestedModel = job.request().model();
        List<String> models = job.route().models();
        if (requestedModel.isPresent() || models.isEmpty()) {
            return new ModelSelection(requestedModel, 0);
        }
        if (job.lowConfidenceAnswerDropped()) {
            return new ModelSelection(Optional.of(models.get(models.size() - 1)), 0);
        }
        boolean mayAskLargest =
                mayRetryLowConfidence && job.route().kind().isRepeatable() && models.size() > 1;
        return new ModelSelection(Optional.of(models.get(0)), mayAskLargest ? minConfidence : 0);
    }
}
