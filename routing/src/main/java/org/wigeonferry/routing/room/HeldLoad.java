package org.wigeonferry.routing.room;

/**
 * Requests that one or several routers have at an upstream, running or waiting there.
 *
 * <p>Immutable and thread safe.
 *
 * @param tokens tokens of memory that the requests may take, prompts and answers together
 */
public record HeldLoad(int requests, long tokens) {
    public static final HeldLoad NONE = new HeldLoad(0, 0);
}
