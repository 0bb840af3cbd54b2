package org.wigeonferry.router;

import org.eclipse.jetty.http.HttpFields;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.router.connections.ConnectionUse;
import org.wigeonferry.routing.Incarnation;

/**
 * A request as it is sent to one upstream.
 *
 * <p>Immutable by convention: nobody changes the body. Thread safe.
 *
 * @param target path and query as the caller wrote them
 */
public record UpstreamRequest(
        Incarnation upstream,
        HostAddress address,
        ConnectionUse connectionUse,
        String method,
        String target,
        HttpFields fields,
        byte[] body) {}
