package org.wigeonferry.router;

import java.util.Optional;
import org.eclipse.jetty.server.Request;
import org.wigeonferry.routing.RoutedRequest;

/**
 * Reads what routing needs from the head of a caller's request.
 *
 * <p>Implementations are stateless and thread safe.
 */
@FunctionalInterface
public interface RequestDecoder {
    /** Decodes a head; empty if it can't be read. */
    Optional<RoutedRequest> decode(Request request);
}
