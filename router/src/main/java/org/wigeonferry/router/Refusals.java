package org.wigeonferry.router;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.wigeonferry.routing.RefusalCause;
import org.wigeonferry.routing.Refused;

/**
 * Writes the responses of refused requests. Status 503, which states that the request did not run,
 * is used only where that is proved.
 *
 * <p>Immutable and thread safe.
 */
final class Refusals {
    private static final int SERVICE_UNAVAILABLE = 503;

    private static final Map<RefusalCause, Integer> STATUS_BY_CAUSE =
            new EnumMap<>(RefusalCause.class);

    /** Delays for the Retry-After field, which is sent in seconds with a decimal fraction. */
    private static final Map<RefusalCause, Duration> RETRY_AFTER_BY_CAUSE =
            new EnumMap<>(RefusalCause.class);

    static {
        STATUS_BY_CAUSE.put(RefusalCause.UNKNOWN_ROUTE, 404);
        STATUS_BY_CAUSE.put(RefusalCause.UNKNOWN_KEY, 401);
        STATUS_BY_CAUSE.put(RefusalCause.MALFORMED, 400);
        STATUS_BY_CAUSE.put(RefusalCause.BODY_TOO_LONG, 413);
        STATUS_BY_CAUSE.put(RefusalCause.OUTCOME_UNKNOWN, 502);
        STATUS_BY_CAUSE.put(RefusalCause.TIMED_OUT, 504);
        RETRY_AFTER_BY_CAUSE.put(RefusalCause.NO_CONFIGURATION, Duration.ofMillis(300));
        RETRY_AFTER_BY_CAUSE.put(RefusalCause.STALE_CONFIGURATION, Duration.ofMillis(200));
        RETRY_AFTER_BY_CAUSE.put(RefusalCause.STOPPING, Duration.ofMillis(20));
        RETRY_AFTER_BY_CAUSE.put(RefusalCause.NO_UPSTREAM, Duration.ofMillis(300));
        RETRY_AFTER_BY_CAUSE.put(RefusalCause.NOT_RUN, Duration.ofMillis(300));
        RETRY_AFTER_BY_CAUSE.put(RefusalCause.WAIT_TOO_LONG, Duration.ofMillis(500));
        RETRY_AFTER_BY_CAUSE.put(RefusalCause.QUEUE_FULL, Duration.ofMillis(500));
        RETRY_AFTER_BY_CAUSE.put(RefusalCause.OVERLOADED, Duration.ofMillis(500));
    }

    void sendRefusal(CallerResponse response, Refused refused) {
        RefusalCause cause = refused.cause();
        HttpFields.Mutable fields = HttpFields.build();
        fields.put(new HttpField(HttpHeader.CONTENT_TYPE, "application/json"));
        refused.retryAfter()
                .or(() -> Optional.ofNullable(RETRY_AFTER_BY_CAUSE.get(cause)))
                .filter(delay -> cause.neverRan())
                .ifPresent(
                        delay ->
                                fields.put(
                                        HttpHeader.RETRY_AFTER,
                                        String.valueOf(delay.toMillis() / 1000.0)));
        String body =
                "{\"error\":{\"type\":\""
                        + wireName(cause)
                        + "\",\"not_run\":"
                        + cause.neverRan()
                        + "}}";
        response.sendComplete(
                STATUS_BY_CAUSE.getOrDefault(cause, SERVICE_UNAVAILABLE),
                fields,
                body.getBytes(StandardCharsets.UTF_8));
    }

    private static String wireName(RefusalCause cause) {
        return cause.name().toLowerCase(Locale.ROOT);
    }
}
