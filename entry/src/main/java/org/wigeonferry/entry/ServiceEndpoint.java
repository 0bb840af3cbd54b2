package org.wigeonferry.entry;

import java.util.Optional;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.wigeonferry.core_types.Bill;
import org.wigeonferry.core_types.ClientAccount;
import org.wigeonferry.core_types.Refusal;
import org.wigeonferry.core_types.RefusalReason;
import org.wigeonferry.core_types.RequestId;
import org.wigeonferry.core_types.ServiceId;
import org.wigeonferry.messages.gen.EndMessage;
import org.wigeonferry.node_runtime.ApiError;
import org.wigeonferry.node_runtime.Endpoint;
import org.wigeonferry.node_runtime.Replies;

/**
 * Serves {@code /v1/services/SERVICE/OPERATION}: {@code GET} for idempotent lookups, {@code POST}
 * for calls that run at most once and need an idempotency key.
 *
 * <p>Thread safe.
 */
final class ServiceEndpoint {
    static final String PATH_PREFIX = "/v1/services/";

    private static final long COST_MICROS_PER_CALL = 1000;
    private static final String OPERATION_PATTERN = "[A-Za-z0-9._/?=&%+-]+";

    private final EntryRuntime runtime;
    private final CallReader reader;

    ServiceEndpoint(EntryRuntime runtime, CallReader reader) {
        this.runtime = runtime;
        this.reader = reader;
    }

    /** The endpoint, which first authenticates the account by its API key. */
    Endpoint endpoint() {
        return AuthenticatedEndpoint.of(runtime.state().controlState(), this::serve);
    }

    private void serve(AuthenticatedRequest authenticated) {
        String[] parts = serviceAndOperation(authenticated.request()).split("/", 2);
        if (parts.length < 2 || !parts[1].matches(OPERATION_PATTERN) || parts[1].contains("..")) {
            throw new IllegalArgumentException("expected " + PATH_PREFIX + "SERVICE/OPERATION");
        }
        ServiceId service = new ServiceId(parts[0]);
        Call parsedCall = reader.read(authenticated, Optional.of(parts[0]));
        Optional<Refusal> refusal =
                checkAllowed(authenticated.request(), authenticated.account(), service, parsedCall);
        if (refusal.isPresent()) {
            Replies.sendError(
                    authenticated.response(),
                    authenticated.callback(),
                    ApiErrors.ofRefusal(refusal.get()));
            return;
        }
        String operation = authenticated.request().getMethod() + " " + parts[1];
        CallAdmission.admit(
                parsedCall,
                runtime,
                () ->
                        runCall(
                                parsedCall,
                                AttemptTarget.ofService(service, operation),
                                authenticated.response(),
                                authenticated.callback()),
                error ->
                        Replies.sendError(
                                authenticated.response(), authenticated.callback(), error));
    }

    /** Path after the prefix, with the query. */
    private static String serviceAndOperation(Request request) {
        return request.getHttpURI().getPathQuery().substring(PATH_PREFIX.length());
    }

    private static Optional<Refusal> checkAllowed(
            Request request, ClientAccount account, ServiceId service, Call call) {
        if (!account.services().contains(service)) {
            return Optional.of(
                    Refusal.of(RefusalReason.NOT_ALLOWED, "account may not call " + service));
        }
        boolean repeatable = request.getMethod().equals("GET");
        if (!repeatable && call.idempotencyKey().isEmpty()) {
            return Optional.of(
                    Refusal.of(RefusalReason.KEY_MISSING, "call needs " + Headers.IDEMPOTENCY_KEY));
        }
        return Optional.empty();
    }

    private void runCall(Call call, AttemptTarget target, Response response, Callback callback) {
        CollectedAnswer answer = new CollectedAnswer();
        runtime.state().retryBudget().onNewRequest();
        new AttemptRunner(call, target, 0, runtime, answer)
                .start()
                .thenAccept(
                        result ->
                                onAttemptsEnded(call, target, result, answer, response, callback));
    }

    private void onAttemptsEnded(
            Call call,
            AttemptTarget target,
            AttemptResult result,
            CollectedAnswer answer,
            Response response,
            Callback callback) {
        if (!(result instanceof AttemptFinished finished)) {
            ApiError error = toApiError(result);
            recordEnd(call, error.code());
            Replies.sendError(response, callback, error);
            return;
        }
        runtime.billKeeper()
                .secure(newBill(call, target), call.timeLeft())
                .thenAccept(
                        secured -> {
                            recordEnd(call, secured ? "answered" : "failed");
                            if (!secured) {
                                Replies.sendError(
                                        response,
                                        callback,
                                        ApiErrors.outcomeUnknown("bill could not be secured"));
                                return;
                            }
                            sendAnswer(call, finished.end(), answer, response, callback);
                        });
    }

    private static void sendAnswer(
            Call call,
            EndMessage end,
            CollectedAnswer answer,
            Response response,
            Callback callback) {
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.getHeaders().put(Headers.REQUEST_ID, call.requestId().value());
        response.getHeaders().put(Headers.STORED_ANSWER, Boolean.toString(end.isStored()));
        Replies.sendBytes(response, callback, end.getStatus(), answer.bytes());
    }

    /**
     * Bills a call with an idempotency key under this key, so that a repeat is billed only once.
     */
    private static Bill newBill(Call call, AttemptTarget target) {
        String service = target.service().map(Object::toString).orElse("");
        RequestId id =
                call.idempotencyKey()
                        .map(key -> new RequestId(service + ":" + key))
                        .orElse(call.requestId());
        return Bill.builder()
                .account(call.account().id())
                .requestId(id)
                .servedBy(service)
                .costMicros(COST_MICROS_PER_CALL)
                .build();
    }

    private static ApiError toApiError(AttemptResult result) {
        if (result instanceof AttemptRefused refused) {
            return ApiErrors.ofRefusal(refused.refusal());
        }
        return ApiErrors.outcomeUnknown(
                result instanceof AttemptFailed failed ? failed.detail() : "");
    }

    private void recordEnd(Call call, String outcome) {
        CallEnd.recordEnd(call, runtime, outcome, 1, COST_MICROS_PER_CALL);
    }
}
