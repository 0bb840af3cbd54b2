package org.wigeonferry.router;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;

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
}
