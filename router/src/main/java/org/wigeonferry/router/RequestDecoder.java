package org.wigeonferry.router;

import java.util.Optional;
import org.eclipse.jetty.server.Request;
import org.wigeonferry.routing.RoutedRequest;

/**
 * Decodes what routing needs from the request line and header fields of a caller's request.
 *
 * <p>Implementations are stateless and thread safe.
 */
@FunctionalInterface
public interface RequestDecoder {
    /** Decodes a request; empty if it is malformed. */
    Optional<RoutedRequest> decode(Request request);
}
