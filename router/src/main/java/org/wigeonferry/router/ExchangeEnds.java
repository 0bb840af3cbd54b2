package org.wigeonferry.router;

import java.util.Optional;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpVersion;
import org.wigeonferry.router.connections.ExchangeEnd;
import org.wigeonferry.router.connections.KeepAliveHeader;

/**
 * Reads from a result of the Jetty client how the exchange ended.
 *
 * <p>Stateless and thread safe.
 */
final class ExchangeEnds {
    private ExchangeEnds() {}

    static ExchangeEnd of(Result result) {
        Response response = result.getResponse();
        if (!result.isSucceeded() || response == null) {
            return new ExchangeEnd(false, false, false, Optional.empty());
        }
        HttpFields fields = response.getHeaders();
        boolean persistent =
                response.getVersion() == HttpVersion.HTTP_1_1
                        && !fields.contains(
                                HttpHeader.CONNECTION, HttpHeaderValue.CLOSE.asString());
        return new ExchangeEnd(
                true,
                !MessageFraming.endsWithConnection(response),
                persistent,
                Optional.ofNullable(fields.get(HttpHeader.KEEP_ALIVE))
                        .flatMap(KeepAliveHeader::timeout));
    }
}
