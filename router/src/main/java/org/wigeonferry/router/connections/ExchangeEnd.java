package org.wigeonferry.router.connections;

import java.time.Duration;
import java.util.Optional;

/**
 * How a request and its response ended on a connection.
 *
 * <p>Immutable and thread safe.
 *
 * @param complete whether the request was written, and the response read, to the end
 * @param endMarked whether the response marked its own end, by a length or a last chunk
 * @param persistent whether the upstream keeps the connection open: HTTP/1.1 without {@code
 *     Connection: close}
 * @param keepAliveTime the idle time after which the upstream closes the connection, if announced
 */
public record ExchangeEnd(
        boolean complete,
        boolean endMarked,
        boolean persistent,
        Optional<Duration> keepAliveTime) {}
