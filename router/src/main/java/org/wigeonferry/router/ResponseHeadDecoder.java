package org.wigeonferry.router;

import org.eclipse.jetty.http.HttpFields;

/**
 * Decodes the status and the header fields of an upstream's response.
 *
 * <p>Implementations are stateless and thread safe.
 */
@FunctionalInterface
public interface ResponseHeadDecoder {
    /** Never fails: a field that is missing or malformed counts as absent. */
    ResponseHead decode(int status, HttpFields fields);
}
