package org.wigeonferry.entry;

import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ClientAccount;

/**
 * A call whose client account is known and whose body was read.
 *
 * <p>Thread safe as long as nobody alters the body.
 *
 * @param request the request
 * @param response where the reply goes
 * @param callback completes the reply
 * @param account the client account that the key belongs to
 * @param catalog the configuration that the key was checked by
 * @param body the body
 */
record AuthenticatedRequest(
        Request request,
        Response response,
        Callback callback,
        ClientAccount account,
        Catalog catalog,
        byte[] body) {}
