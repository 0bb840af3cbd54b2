package org.wigeonferry.entry;

import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ClientAccount;

/**
 * A caller's HTTP request whose client account is authenticated and whose body has been read.
 *
 * <p>Thread safe as long as the body is not modified.
 *
 * @param request the HTTP request
 * @param response the HTTP response to write
 * @param callback to be completed once the response is written or has failed
 * @param account client account that the API key belongs to
 * @param catalog configuration that the API key was checked against
 * @param body content of the request
 */
record AuthenticatedRequest(
        Request request,
        Response response,
        Callback callback,
        ClientAccount account,
        Catalog catalog,
        byte[] body) {}
