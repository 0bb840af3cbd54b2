package org.wigeonferry.router;

import org.eclipse.jetty.http.HttpFields;
import org.wigeonferry.core_types.HostAddress;

/**
 * A request as it is sent to one upstream.
 *
 * <p>Immutable by convention: nobody changes the body. Thread safe.
 *
 * @param target path and query as the caller wrote them
 */
public record UpstreamRequest(
        HostAddress address, String method, String target, HttpFields fields, byte[] body) {}
