package org.wigeonferry.router;

/**
 * The wire format: decodes callers' requests and upstreams' responses, and encodes the header
 * fields of requests to upstreams.
 *
 * <p>Immutable and thread safe.
 */
public record WireProtocol(
        RequestDecoder requestDecoder,
        UpstreamHeadersEncoder upstreamHeadersEncoder,
        ResponseHeadDecoder responseHeadDecoder) {}
