package org.wigeonferry.entry;

import java.util.List;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.RequestClass;
import org.wigeonferry.core_types.RequestClassId;
import org.wigeonferry.decisions.CascadePolicy;

/**
 * What the ratings of one request's answers teach, and whether a further stage is worth its cost.
 *
 * <p>Used on the control thread, but for {@link #rateDelivered}, which any thread may call.
 */
final class RatingFeedback {
    private static final int PERCENT = 100;

    private final Call call;
    private final EntryRuntime runtime;
    private final RequestClassId type;

    RatingFeedback(Call call, EntryRuntime runtime) {
        this.call = call;
        this.runtime = runtime;
        this.type = call.requestClass();
    }

    /** Notes the rating of a stage; {@code bestBefore} is that of the best answer before it. */
    void onStageRating(List<ModelVersion> stages, int stage, double bestBefore, double rating) {
        ModelVersion version = stages.get(stage);
        noteEvidence(version, rating);
        if (stage == 0) {
            cascade().onFirstStageRating(type, version, rating);
            return;
        }
        cascade().onLaterStageRating(type, stages.get(stage - 1), version, bestBefore, rating);
    }

    /** Tells whether a further stage is worth its cost. */
    boolean shouldEscalate(List<ModelVersion> stages, int stage, double bestRating) {
        if (stage == stages.size() - 1) {
            return false;
        }
        return cascade().shouldEscalate(type, stages.get(stage), stages.get(stage + 1), bestRating);
    }

    /** Notes the rating of what is delivered. */
    void onDeliveredRating(double rating) {
        double target =
                runtime.state()
                        .controlState()
                        .catalog()
                        .requestClass(type)
                        .map(RequestClass::qualityTarget)
                        .orElse(0.0);
        cascade().onDeliveredRating(type, target, rating);
    }

    /** Has an answer rated that was delivered already. */
    void rateDelivered(ModelVersion version, String prompt, String text) {
        runtime.ratingService()
                .rate(type.value(), prompt, text)
                .thenAccept(
                        rating ->
                                rating.ifPresent(
                                        value ->
                                                runtime.control()
                                                        .execute(
                                                                () ->
                                                                        onLateRating(
                                                                                version, value))));
    }

    private void onLateRating(ModelVersion version, double rating) {
        noteEvidence(version, rating);
        cascade().onFirstStageRating(type, version, rating);
        onDeliveredRating(rating);
    }

    private void noteEvidence(ModelVersion version, double rating) {
        runtime.state().controlState().evidence().onRating(version.id(), rating);
        runtime.metrics()
                .recordValue(
                        "rating_percent",
                        "version",
                        version.id().value(),
                        Math.round(rating * PERCENT));
        runtime.metrics()
                .recordValue(
                        "rating_percent",
                        "account",
                        call.account().id().value(),
                        Math.round(rating * PERCENT));
    }

    private CascadePolicy cascade() {
        return runtime.state().cascadePolicy();
    }
}
