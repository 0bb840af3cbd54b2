package org.wigeonferry.stand_ins;

import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * A question for changes that a store keeps until there are some.
 *
 * <p>Immutable.
 *
 * @param after version after which changes are asked for
 */
record WaitingQuestion(String table, long after, Response response, Callback callback) {}
