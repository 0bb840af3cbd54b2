package org.wigeonferry.entry;

import java.time.Duration;
import org.wigeonferry.core_types.Refusal;
import org.wigeonferry.core_types.RefusalReason;
import org.wigeonferry.node_runtime.ApiError;

/**
 * The errors that callers see.
 *
 * <p>Stateless and thread safe.
 */
final class ApiErrors {
    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int FORBIDDEN = 403;
    private static final int CONFLICT = 409;
    private static final int UNPROCESSABLE = 422;
    private static final int TOO_MANY = 429;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final Duration RETRY_SOON = Duration.ofSeconds(1);

    private ApiErrors() {}

    static ApiError badRequest(String message) {
        return new ApiError(BAD_REQUEST, "bad_request", true, message);
    }

    static ApiError unauthorized() {
        return new ApiError(UNAUTHORIZED, "unauthorized", true, "no valid API key");
    }

    /** The request was not run. */
    static ApiError ofRefusal(Refusal refusal) {
        RefusalReason reason = refusal.reason();
        return switch (reason) {
            case NOT_ALLOWED, VERSION_WITHDRAWN ->
                    new ApiError(FORBIDDEN, "not_allowed", true, refusal.detail());
            case KEY_CONFLICT -> new ApiError(CONFLICT, "conflict", true, refusal.detail());
            case KEY_MISSING -> badRequest(refusal.detail());
            case POISON -> new ApiError(UNPROCESSABLE, "poison", true, refusal.detail());
            case ACCOUNT_LIMIT ->
                    new ApiError(TOO_MANY, "not_run", true, refusal.detail(), RETRY_SOON);
            default ->
                    new ApiError(
                            UNAVAILABLE,
                            "not_run",
                            true,
                            reason + ": " + refusal.detail(),
                            RETRY_SOON);
        };
    }

    /** The request may have run. */
    static ApiError outcomeUnknown(String detail) {
        return new ApiError(BAD_GATEWAY, "unknown", false, detail);
    }

    /** The request crashed upstreams, this time too. */
    static ApiError poisonRequest(String detail) {
        return new ApiError(UNPROCESSABLE, "poison", false, detail);
    }
}
