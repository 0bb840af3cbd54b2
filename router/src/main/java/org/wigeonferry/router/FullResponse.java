package org.wigeonferry.router;

/**
 * An upstream's whole answer.
 *
 * <p>Immutable by convention: nobody changes the body. Thread safe.
 */
record FullResponse(ResponseHead head, byte[] body) {}
