package org.wigeonferry.entry;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.wigeonferry.core_types.Bill;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.Refusal;
import org.wigeonferry.core_types.RefusalReason;
import org.wigeonferry.core_types.VersionId;
import org.wigeonferry.decisions.StageQuery;
import org.wigeonferry.node_runtime.ApiError;
import org.wigeonferry.node_runtime.Replies;

/**
 * Runs the model cascade for one chat-completions request and sends the answer.
 *
 * <p>A streamed answer has only one stage, since bytes that were sent cannot be recalled. Any other
 * answer is rated after each stage, and the next stage runs while its expected gain is worth its
 * cost; then the best answer is delivered. If the rating service returns no rating, the answer of
 * this stage is delivered. The steps of one call never run at the same time, so no lock is needed.
 */
final class ChatCall {
    private static final int OK = 200;
    private static final int MAX_REPLANS = 3;

    private final Call call;
    private final ChatRequest chat;
    private final Optional<VersionId> sessionVersion;
    private final EntryRuntime runtime;
    private final Response response;
    private final Callback callback;
    private final RatingFeedback ratingFeedback;
    private List<ModelVersion> stages = List.of();
    private int stage;
    private int replansLeft = MAX_REPLANS;
    private long generatedTokens;
    private long costMicros;
    private Optional<DeliverableAnswer> bestAnswer = Optional.empty();
    private double bestRating;

    ChatCall(
            Call call,
            ChatRequest chat,
            Optional<VersionId> sessionVersion,
            EntryRuntime runtime,
            Response response,
            Callback callback) {
        this.call = call;
        this.chat = chat;
        this.sessionVersion = sessionVersion;
        this.runtime = runtime;
        this.response = response;
        this.callback = callback;
        this.ratingFeedback = new RatingFeedback(call, runtime);
    }

    /** Starts the first stage; must be called on the control thread, after admission. */
    void start() {
        runtime.state().retryBudget().onNewRequest();
        planStages();
    }

    /** Chooses the stages from the current configuration and runs the first one. */
    private void planStages() {
        StageQuery query =
                new StageQuery(
                        call.account(),
                        call.requestId(),
                        call.requestClass(),
                        Optional.of(chat.model()).filter(this::isModelName),
                        sessionVersion,
                        chat.stream());
        stages =
                runtime.state()
                        .cascadePolicy()
                        .chooseStages(query, runtime.state().controlState().catalog());
        if (stages.isEmpty()) {
            finishWithError(
                    ApiErrors.ofRefusal(
                            Refusal.of(
                                    RefusalReason.NOT_ALLOWED,
                                    "no version is allowed to the account")));
            return;
        }
        runStage();
    }

    /**
     * Chooses the stages again if the first stage's version was withdrawn before any attempt ran.
     * Returns whether it did.
     */
    private boolean replanIfWithdrawn(AttemptResult result) {
        boolean withdrawn =
                result instanceof AttemptRefused refused
                        && refused.refusal().reason() == RefusalReason.VERSION_WITHDRAWN;
        if (!withdrawn || stage > 0 || replansLeft == 0) {
            return false;
        }
        replansLeft--;
        runtime.control().execute(this::planStages);
        return true;
    }

    private boolean isModelName(String name) {
        boolean isClass = name.equals(call.requestClass().value());
        return !name.equals(ChatRequest.AUTO_MODEL) && !isClass;
    }

    private void runStage() {
        if (chat.stream()) {
            runStreamedStage();
            return;
        }
        CollectedAnswer answer = new CollectedAnswer();
        new AttemptRunner(
                        call, AttemptTarget.ofVersion(stageVersion().id()), stage, runtime, answer)
                .start()
                .thenAccept(result -> onAnswerCollected(result, answer));
    }

    private ModelVersion stageVersion() {
        return stages.get(stage);
    }

    private void onAnswerCollected(AttemptResult result, CollectedAnswer answer) {
        if (replanIfWithdrawn(result)) {
            return;
        }
        if (!(result instanceof AttemptFinished finished)) {
            if (bestAnswer.isPresent()) {
                deliver(bestAnswer.get());
                return;
            }
            fail(result);
            return;
        }
        addUsage(finished);
        DeliverableAnswer deliverable =
                new DeliverableAnswer(stageVersion(), answer.text(), finished.end().getTokens());
        runtime.ratingService()
                .rate(call.requestClass().value(), chat.prompt(), answer.text())
                .thenAccept(
                        rating ->
                                runtime.control()
                                        .execute(
                                                () -> {
                                                    if (rating.isPresent()) {
                                                        onRating(deliverable, rating.getAsDouble());
                                                        return;
                                                    }
                                                    deliver(deliverable);
                                                }));
    }

    private void onRating(DeliverableAnswer answer, double rating) {
        ratingFeedback.onStageRating(stages, stage, bestRating, rating);
        if (bestAnswer.isEmpty() || rating > bestRating) {
            bestAnswer = Optional.of(answer);
            bestRating = rating;
        }
        if (ratingFeedback.shouldEscalate(stages, stage, bestRating)) {
            stage++;
            runStage();
            return;
        }
        ratingFeedback.onDeliveredRating(bestRating);
        deliver(bestAnswer.get());
    }

    private void runStreamedStage() {
        putHeaders(stageVersion());
        ChatReplies replies = new ChatReplies(call.requestId(), stageVersion().id().value());
        StreamedAnswer answer = new StreamedAnswer(response, callback, replies);
        new AttemptRunner(
                        call, AttemptTarget.ofVersion(stageVersion().id()), stage, runtime, answer)
                .start()
                .thenAccept(result -> onStreamEnded(result, answer));
    }

    private void onStreamEnded(AttemptResult result, StreamedAnswer answer) {
        if (replanIfWithdrawn(result)) {
            return;
        }
        if (!(result instanceof AttemptFinished finished) || answer.callerDisconnected()) {
            recordEnd("failed");
            answer.fail(toApiError(result));
            return;
        }
        addUsage(finished);
        secureBill()
                .thenAccept(
                        secured -> {
                            if (!secured) {
                                recordEnd("failed");
                                answer.fail(ApiErrors.outcomeUnknown("bill could not be secured"));
                                return;
                            }
                            recordEnd("answered");
                            answer.finish();
                            ratingFeedback.rateDelivered(
                                    stageVersion(), chat.prompt(), answer.text());
                        });
    }

    private void addUsage(AttemptFinished finished) {
        generatedTokens += finished.end().getTokens();
        costMicros += finished.end().getTokens() * stageVersion().costMicrosPerToken();
    }

    private CompletableFuture<Boolean> secureBill() {
        return runtime.billKeeper()
                .secure(
                        Bill.builder()
                                .account(call.account().id())
                                .requestId(call.requestId())
                                .servedBy(stageVersion().id().value())
                                .generatedTokens(generatedTokens)
                                .costMicros(costMicros)
                                .build(),
                        call.timeLeft());
    }

    private void deliver(DeliverableAnswer answer) {
        secureBill()
                .thenAccept(
                        secured -> {
                            if (!secured) {
                                finishWithError(
                                        ApiErrors.outcomeUnknown("bill could not be secured"));
                                return;
                            }
                            recordEnd("answered");
                            putHeaders(answer.version());
                            ChatReplies replies =
                                    new ChatReplies(
                                            call.requestId(), answer.version().id().value());
                            Replies.sendJson(
                                    response,
                                    callback,
                                    OK,
                                    replies.completion(answer.text(), answer.tokens()));
                        });
    }

    private void putHeaders(ModelVersion version) {
        response.getHeaders().put(Headers.MODEL_VERSION, version.id().value());
        response.getHeaders().put(Headers.STAGE_COUNT, Integer.toString(stage + 1));
        response.getHeaders().put(Headers.REQUEST_ID, call.requestId().value());
        response.getHeaders()
                .put(
                        Headers.SESSION_ID,
                        runtime.sessions().issue(call.account().id(), version.id()));
    }

    private void fail(AttemptResult result) {
        finishWithError(toApiError(result));
    }

    private ApiError toApiError(AttemptResult result) {
        if (result instanceof AttemptRefused refused) {
            return stage == 0
                    ? ApiErrors.ofRefusal(refused.refusal())
                    : ApiErrors.outcomeUnknown(refused.refusal().detail());
        }
        if (result instanceof AttemptFailed failed && failed.poison()) {
            return ApiErrors.poisonRequest(failed.detail());
        }
        return ApiErrors.outcomeUnknown(
                result instanceof AttemptFailed failed ? failed.detail() : "caller went away");
    }

    private void finishWithError(ApiError error) {
        recordEnd(error.code());
        Replies.sendError(response, callback, error);
    }

    private void recordEnd(String outcome) {
        CallEnd.recordEnd(call, runtime, outcome, stage + 1, costMicros);
    }
}
