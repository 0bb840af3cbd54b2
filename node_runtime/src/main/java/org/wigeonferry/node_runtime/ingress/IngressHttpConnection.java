package org.wigeonferry.node_runtime.ingress;

import org.eclipse.jetty.http.HttpException;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.internal.HttpConnection;

/**
 * An HTTP/1.1 connection that holds memory for each header field as it is parsed, and refuses heads
 * beyond the limits. A refused request has not been passed to a handler.
 *
 * <p>Used by one thread at a time.
 */
final class IngressHttpConnection extends HttpConnection {
    private int fields;
    private long headBytes;

    IngressHttpConnection(HttpConfiguration configuration, Connector connector, EndPoint endPoint) {
        super(configuration, connector, endPoint);
    }

    /** Hands the memory of the parsed head over to its request. */
    long takeHeadBytes() {
        long taken = headBytes;
        headBytes = 0;
        return taken;
    }

    @Override
    protected RequestHandler newRequestHandler() {
        return new RequestHandler() {
            @Override
            public void startRequest(String method, String uri, HttpVersion version) {
                beginHead(uri.length());
                super.startRequest(method, uri, version);
            }

            @Override
            public void parsedHeader(HttpField field) {
                addField(field);
                super.parsedHeader(field);
            }

            @Override
            public void parsedTrailer(HttpField trailer) {
                addField(trailer);
                super.parsedTrailer(trailer);
            }
        };
    }

    private void beginHead(int characters) {
        GuardedConnection connection = guarded();
        connection.release(takeHeadBytes());
        fields = 0;
        int pipelined = connection.onHeadStart(System.nanoTime());
        if (!connection.ingress().headLimits().allowsPipelined(pipelined)) {
            connection.ingress().countRefusal(IngressRefusal.PIPELINED);
            throw new HttpException.RuntimeException(
                    HttpStatus.SERVICE_UNAVAILABLE_503, "too many pipelined requests");
        }
        hold(HeadLimits.fieldBytes(characters));
    }

    private void addField(HttpField field) {
        fields++;
        Ingress ingress = guarded().ingress();
        if (!ingress.headLimits().allowsFields(fields)) {
            ingress.countRefusal(IngressRefusal.HEADER_FIELDS);
            throw new HttpException.RuntimeException(
                    HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431, "too many header fields");
        }
        int valueLength = field.getValue() == null ? 0 : field.getValue().length();
        hold(HeadLimits.fieldBytes(field.getName().length() + valueLength));
    }

    private void hold(long bytes) {
        if (!guarded().tryHold(bytes)) {
            throw new HttpException.RuntimeException(
                    HttpStatus.SERVICE_UNAVAILABLE_503, "too many incomplete requests");
        }
        headBytes += bytes;
    }

    private GuardedConnection guarded() {
        return IngressEndPoint.connectionOf(getEndPoint());
    }
}
