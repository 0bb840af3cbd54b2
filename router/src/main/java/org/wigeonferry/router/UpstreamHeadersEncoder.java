package org.wigeonferry.router;

import java.time.Duration;
import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.wigeonferry.routing.Send;

/**
 * Makes the header of a request to an upstream from the caller's.
 *
 * <p>Implementations are stateless and thread safe.
 */
@FunctionalInterface
public interface UpstreamHeadersEncoder {
    /**
     * Encodes a header.
     *
     * @param resumeAfter id of the last event that the caller has, if we go on with a stream
     */
    HttpFields encode(HttpFields caller, Send send, Duration left, Optional<String> resumeAfter);
}
