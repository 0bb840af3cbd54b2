package org.wigeonferry.router;

import java.time.Duration;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.wigeonferry.routing.Send;

/**
 * Builds the header fields of a request to an upstream from those of the caller's request.
 *
 * <p>Implementations are stateless and thread safe.
 */
@FunctionalInterface
public interface UpstreamHeadersEncoder {
    /**
     * Creates the fields from those of the caller's request.
     *
     * @param timeLeft time until the request's deadline
     * @param resumeAfter id of the last event that the caller received, if a stream is resumed
     */
    HttpFields encode(
            HttpFields callerFields, Send send, Duration timeLeft, Optional<String> resumeAfter);
}
