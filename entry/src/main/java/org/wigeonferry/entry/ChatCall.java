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
 * Takes one chat-completions request through its stages to its answer.
 *
 * <p>A streamed answer has one stage, since it can't be taken back. Any other is rated after each
 * stage and goes on to the next while that is worth its cost; the best answer is delivered. Without
 * a rating the answer is delivered as it is. Steps follow one another, so no lock is needed.
 */
final class ChatCall {
    private static final int OK = 200;
    private static final int MAX_PLANS = 3;

    private final Call call;
    private final ChatRequest chat;
    private final Optional<VersionId> session;
    private final EntryRuntime runtime;
    private final Response response;
    private final Callback callback;
    private final RatingFeedback learning;
    private List<ModelVersion> stages = List.of();
    private int stage;
    private int plansLeft = MAX_PLANS;
    private long tokens;
    private long costMicros;
    private Optional<DeliverableAnswer> best = Optional.empty();
    private double bestRating;

    ChatCall(
            Call call,
            ChatRequest chat,
            Optional<VersionId> session,
            EntryRuntime runtime,
            Response response,
            Callback callback) {
        this.call = call;
        this.chat = chat;
        this.session = session;
        this.runtime = runtime;
        this.response = response;
        this.callback = callback;
        this.learning = new RatingFeedback(call, runtime);
    }

    /** Begins; call on the control thread, after the request was counted in. */
    void start() {
        runtime.state().retryBudget().onNewRequest();
        plan();
    }

    /** Chooses the stages by the newest configuration, and runs the first. */
    private void plan() {
        StageQuery query =
                new StageQuery(
                        call.account(),
                        call.requestId(),
                        call.requestClass(),
                        Optional.of(chat.model()).filter(this::namesModel),
                        session,
                        chat.stream());
        stages =
                runtime.state()
                        .cascadePolicy()
                        .stages(query, runtime.state().controlState().catalog());
        if (stages.isEmpty()) {
            end(
                    ApiErrors.ofRefusal(
                            Refusal.of(
                                    RefusalReason.NOT_ALLOWED,
                                    "no version is allowed to the account")));
            return;
        }
        runStage();
    }

    /** Plans anew if the first stage's version was withdrawn before anything ran. */
    private boolean plansAnew(AttemptResult result) {
        boolean withdrawn =
                result instanceof AttemptRefused refused
                        && refused.refusal().reason() == RefusalReason.VERSION_WITHDRAWN;
        if (!withdrawn || stage > 0 || plansLeft == 0) {
            return false;
        }
        plansLeft--;
        runtime.control().execute(this::plan);
        return true;
    }

    private boolean namesModel(String name) {
        boolean isClass = name.equals(call.requestClass().value());
        return !name.equals(ChatRequest.AUTO_MODEL) && !isClass;
    }

    private void runStage() {
        if (chat.stream()) {
            runStreamed();
            return;
        }
        CollectedAnswer answer = new CollectedAnswer();
        new AttemptRunner(call, AttemptTarget.ofVersion(version().id()), stage, runtime, answer)
                .start()
                .thenAccept(result -> onCollected(result, answer));
    }

    private ModelVersion version() {
        return stages.get(stage);
    }

    private void onCollected(AttemptResult result, CollectedAnswer answer) {
        if (plansAnew(result)) {
            return;
        }
        if (!(result instanceof AttemptFinished finished)) {
            if (best.isPresent()) {
                deliver(best.get());
                return;
            }
            fail(result);
            return;
        }
        count(finished);
        DeliverableAnswer deliverable =
                new DeliverableAnswer(version(), answer.text(), finished.end().getTokens());
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
        learning.onStageRating(stages, stage, bestRating, rating);
        if (best.isEmpty() || rating > bestRating) {
            best = Optional.of(answer);
            bestRating = rating;
        }
        if (learning.shouldEscalate(stages, stage, bestRating)) {
            stage++;
            runStage();
            return;
        }
        learning.onDeliveredRating(bestRating);
        deliver(best.get());
    }

    private void runStreamed() {
        putHeaders(version());
        ChatReplies replies = new ChatReplies(call.requestId(), version().id().value());
        StreamedAnswer answer = new StreamedAnswer(response, callback, replies);
        new AttemptRunner(call, AttemptTarget.ofVersion(version().id()), stage, runtime, answer)
                .start()
                .thenAccept(result -> onStreamed(result, answer));
    }

    private void onStreamed(AttemptResult result, StreamedAnswer answer) {
        if (plansAnew(result)) {
            return;
        }
        if (!(result instanceof AttemptFinished finished) || answer.callerDisconnected()) {
            leave("failed");
            answer.fail(error(result));
            return;
        }
        count(finished);
        secureBill()
                .thenAccept(
                        secured -> {
                            if (!secured) {
                                leave("failed");
                                answer.fail(ApiErrors.outcomeUnknown("bill could not be secured"));
                                return;
                            }
                            leave("answered");
                            answer.finish();
                            learning.rateDelivered(version(), chat.prompt(), answer.text());
                        });
    }

    private void count(AttemptFinished finished) {
        tokens += finished.end().getTokens();
        costMicros += finished.end().getTokens() * version().costMicrosPerToken();
    }

    private CompletableFuture<Boolean> secureBill() {
        return runtime.billKeeper()
                .secure(
                        Bill.builder()
                                .account(call.account().id())
                                .requestId(call.requestId())
                                .servedBy(version().id().value())
                                .generatedTokens(tokens)
                                .costMicros(costMicros)
                                .build(),
                        call.timeLeft());
    }

    private void deliver(DeliverableAnswer answer) {
        secureBill()
                .thenAccept(
                        secured -> {
                            if (!secured) {
                                end(ApiErrors.outcomeUnknown("bill could not be secured"));
                                return;
                            }
                            leave("answered");
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
        end(error(result));
    }

    private ApiError error(AttemptResult result) {
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

    private void end(ApiError error) {
        leave(error.code());
        Replies.sendError(response, callback, error);
    }

    private void leave(String outcome) {
        CallEnd.recordEnd(call, runtime, outcome, stage + 1, costMicros);
    }
}
