package org.wigeonferry.router;

import org.eclipse.jetty.http.HttpFields;

/**
 * Reads the head of an upstream's answer.
 *
 * <p>Implementations are stateless and thread safe.
 */
@FunctionalInterface
public interface ResponseHeadDecoder {
    /** Decodes a head. */
    ResponseHead decode(int status, HttpFields fields);
}
