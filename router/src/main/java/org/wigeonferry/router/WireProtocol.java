package org.wigeonferry.router;

/**
 * How requests and answers are written on the wire.
 *
 * <p>Immutable and thread safe.
 */
public record WireProtocol(
        RequestDecoder requestDecoder,
        UpstreamHeadersEncoder upstreamHeadersEncoder,
        ResponseHeadDecoder responseHeadDecoder) {}
