package org.wigeonferry.router;

import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;

/**
 * How the end of a response's body is marked (RFC 9112, section 6.3).
 *
 * <p>Immutable and thread safe.
 */
enum MessageFraming {
    /** A last chunk marks the end. */
    CHUNKED,
    /** The body has a declared length. */
    LENGTH,
    /** The body ends with its connection, so one that is cut off looks complete. */
    CLOSE;

    /** The framing of a response with these header fields. */
    static MessageFraming of(HttpFields fields) {
        if (fields.contains(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED.asString())) {
            return CHUNKED;
        }
        return fields.contains(HttpHeader.CONTENT_LENGTH) ? LENGTH : CLOSE;
    }

    /** Whether only the end of the connection marks the end of this response. */
    static boolean endsWithConnection(Response response) {
        boolean withoutBody =
                HttpMethod.HEAD.is(response.getRequest().getMethod())
                        || response.getStatus() == HttpStatus.NO_CONTENT_204
                        || response.getStatus() == HttpStatus.NOT_MODIFIED_304;
        return !withoutBody && of(response.getHeaders()) == CLOSE;
    }
}
