package org.wigeonferry.router;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.wigeonferry.routing.RefusalCause;

/**
 * Turns refusals into answers. A status that promises "not run" is used only where that is proved.
 *
 * <p>Immutable and thread safe.
 */
final class Refusals {
    private static final int UNAVAILABLE = 503;

    private static final Map<RefusalCause, Integer> STATUS = new EnumMap<>(RefusalCause.class);
    private static final Map<RefusalCause, Duration> RETRY_AFTER =
            new EnumMap<>(RefusalCause.class);

    static {
        STATUS.put(RefusalCause.UNKNOWN_ROUTE, 404);
        STATUS.put(RefusalCause.UNKNOWN_KEY, 401);
        STATUS.put(RefusalCause.MALFORMED, 400);
        STATUS.put(RefusalCause.BODY_TOO_LONG, 413);
        STATUS.put(RefusalCause.OUTCOME_UNKNOWN, 502);
        STATUS.put(RefusalCause.TIMED_OUT, 504);
        RETRY_AFTER.put(RefusalCause.NO_CONFIGURATION, Duration.ofMillis(300));
        RETRY_AFTER.put(RefusalCause.STALE_CONFIGURATION, Duration.ofMillis(200));
        RETRY_AFTER.put(RefusalCause.STOPPING, Duration.ofMillis(20));
        RETRY_AFTER.put(RefusalCause.NO_UPSTREAM, Duration.ofMillis(300));
        RETRY_AFTER.put(RefusalCause.NOT_RUN, Duration.ofMillis(300));
        RETRY_AFTER.put(RefusalCause.OVERLOADED, Duration.ofMillis(500));
    }

    void sendRefusal(CallerResponse reply, RefusalCause cause) {
        HttpFields.Mutable fields = HttpFields.build();
        fields.put(new HttpField(HttpHeader.CONTENT_TYPE, "application/json"));
        Duration pause = RETRY_AFTER.get(cause);
        if (pause != null) {
            fields.put(HttpHeader.RETRY_AFTER, String.valueOf(pause.toMillis() / 1000.0));
        }
        String body =
                "{\"error\":{\"type\":\""
                        + name(cause)
                        + "\",\"not_run\":"
                        + cause.neverRan()
                        + "}}";
        reply.sendFull(
                STATUS.getOrDefault(cause, UNAVAILABLE),
                fields,
                body.getBytes(StandardCharsets.UTF_8));
    }

    private static String name(RefusalCause cause) {
        return cause.name().toLowerCase(Locale.ROOT);
    }
}
