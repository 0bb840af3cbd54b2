package org.wigeonferry.router;

/**
 * A complete response of an upstream, with its body in memory.
 *
 * <p>Immutable by convention: nobody changes the body. Thread safe.
 */
record CompleteResponse(ResponseHead head, byte[] body) {}
