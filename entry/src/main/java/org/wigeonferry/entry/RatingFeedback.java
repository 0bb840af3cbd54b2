package org.wigeonferry.entry;

import java.util.List;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.RequestClass;
import org.wigeonferry.core_types.RequestClassId;
import org.wigeonferry.decisions.CascadePolicy;

/**
 * Feeds the ratings of one request's answers to the cascade and to the evidence on versions, and
 * decides whether a further stage is worth its cost.
 *
 * <p>Owned by the control thread, except {@link #rateDelivered}, which any thread may call.
 */
final class RatingFeedback {
    private static final int PERCENT_PER_UNIT = 100;

    private final Call call;
    private final EntryRuntime runtime;
    private final RequestClassId requestClass;

    RatingFeedback(Call call, EntryRuntime runtime) {
        this.call = call;
        this.runtime = runtime;
        this.requestClass = call.requestClass();
    }

    /**
     * Records the rating of a stage's answer.
     *
     * @param bestEarlierRating rating of the best answer of the earlier stages, in [0, 1]
     * @param rating rating of this answer, in [0, 1]
     */
    void onStageRating(
            List<ModelVersion> stages, int stage, double bestEarlierRating, double rating) {
        ModelVersion version = stages.get(stage);
        recordRating(version, rating);
        if (stage == 0) {
            cascade().onFirstStageRating(requestClass, version, rating);
            return;
        }
        cascade()
                .onLaterStageRating(
                        requestClass, stages.get(stage - 1), version, bestEarlierRating, rating);
    }

    /** Whether the expected gain in rating of the next stage is worth its cost. */
    boolean shouldEscalate(List<ModelVersion> stages, int stage, double bestRating) {
        if (stage == stages.size() - 1) {
            return false;
        }
        return cascade()
                .shouldEscalate(requestClass, stages.get(stage), stages.get(stage + 1), bestRating);
    }

    /** Records the rating of the delivered answer. */
    void onDeliveredRating(double rating) {
        double target =
                runtime.state()
                        .controlState()
                        .catalog()
                        .requestClass(requestClass)
                        .map(RequestClass::qualityTarget)
                        .orElse(0.0);
        cascade().onDeliveredRating(requestClass, target, rating);
    }

    /** Requests the rating of an answer that was already delivered, and records it on arrival. */
    void rateDelivered(ModelVersion version, String prompt, String text) {
        runtime.ratingService()
                .rate(requestClass.value(), prompt, text)
                .thenAccept(
                        rating ->
                                rating.ifPresent(
                                        value ->
                                                runtime.control()
                                                        .execute(
                                                                () ->
                                                                        onRatingAfterDelivery(
                                                                                version, value))));
    }

    private void onRatingAfterDelivery(ModelVersion version, double rating) {
        recordRating(version, rating);
        cascade().onFirstStageRating(requestClass, version, rating);
        onDeliveredRating(rating);
    }

    private void recordRating(ModelVersion version, double rating) {
        runtime.state().controlState().evidence().onRating(version.id(), rating);
        runtime.metrics()
                .recordValue(
                        "rating_percent",
                        "version",
                        version.id().value(),
                        Math.round(rating * PERCENT_PER_UNIT));
        runtime.metrics()
                .recordValue(
                        "rating_percent",
                        "account",
                        call.account().id().value(),
                        Math.round(rating * PERCENT_PER_UNIT));
    }

    private CascadePolicy cascade() {
        return runtime.state().cascadePolicy();
    }
}
