package org.wigeonferry.entry;

import java.time.Duration;
import org.wigeonferry.core_types.Refusal;
import org.wigeonferry.core_types.RefusalReason;
import org.wigeonferry.node_runtime.ApiError;

/**
 * Creates the errors that the callers' API returns.
 *
 * <p>Stateless and thread safe.
 */
final class ApiErrors {
    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int FORBIDDEN = 403;
    private static final int CONFLICT = 409;
    private static final int UNPROCESSABLE = 422;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

    private ApiErrors() {}

    static ApiError badRequest(String message) {
        return new ApiError(BAD_REQUEST, "bad_request", true, message);
    }

    /** The error for a request whose body the process has no room for. */
    static ApiError noRoom() {
        return new ApiError(
                UNAVAILABLE, "not_run", true, "too many incomplete requests", RETRY_AFTER);
    }

    static ApiError unauthorized() {
        return new ApiError(UNAUTHORIZED, "unauthorized", true, "no valid API key");
    }

    /** The error for a request that was refused and did not run. */
    static ApiError ofRefusal(Refusal refusal) {
        RefusalReason reason = refusal.reason();
        return switch (reason) {
            case NOT_ALLOWED, VERSION_WITHDRAWN ->
                    new ApiError(FORBIDDEN, "not_allowed", true, refusal.detail());
            case KEY_CONFLICT -> new ApiError(CONFLICT, "conflict", true, refusal.detail());
            case KEY_MISSING -> badRequest(refusal.detail());
            case POISON -> new ApiError(UNPROCESSABLE, "poison", true, refusal.detail());
            case ACCOUNT_LIMIT ->
                    new ApiError(TOO_MANY_REQUESTS, "not_run", true, refusal.detail(), RETRY_AFTER);
            default ->
                    new ApiError(
                            UNAVAILABLE,
                            "not_run",
                            true,
                            reason + ": " + refusal.detail(),
                            RETRY_AFTER);
        };
    }

    /** The error for a request that may have run, so that its outcome is unknown. */
    static ApiError outcomeUnknown(String detail) {
        return new ApiError(BAD_GATEWAY, "unknown", false, detail);
    }

    /**
     * The error for a poison request that ran: unlike one refused as poison, it may have crashed an
     * upstream again.
     */
    static ApiError poisonRequest(String detail) {
        return new ApiError(UNPROCESSABLE, "poison", false, detail);
    }
}
