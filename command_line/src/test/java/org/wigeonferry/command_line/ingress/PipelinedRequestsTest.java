package org.wigeonferry.command_line.ingress;

import org.junit.jupiter.api.Test;

/**
 * Guards against callers that send many requests on one connection without reading the responses,
 * which would occupy the router's threads or memory with responses that nobody reads.
 */
class PipelinedRequestsTest {
    private static final int CALLERS = 10;
    private static final int REQUESTS = 20_000;

    private static CallerScript pipelined(String request) {
        return out -> Pieces.writeText(out, request.repeat(REQUESTS));
    }

    @Test
    void requestsToRoutedAndOtherPaths() throws Exception {
        try (IngressRouter router = new IngressRouter("pipelined-callers");
                CallerGroup group = new CallerGroup()) {
            group.send(
                    CALLERS / 2,
                    router.callers(),
                    pipelined(router.openHead("GET", "/safe/x") + "\r\n"));
            group.send(
                    CALLERS / 2,
                    router.callers(),
                    pipelined(router.openHead("GET", "/none") + "\r\n"));
            router.assertServes();
        }
    }

    @Test
    void requestsToReadinessAndMetrics() throws Exception {
        try (IngressRouter router = new IngressRouter("pipelined-readiness");
                CallerGroup group = new CallerGroup()) {
            CallerScript requests = pipelined("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
            group.send(CALLERS / 2, router.ready(), requests);
            group.send(CALLERS / 2, router.metrics(), requests);
            router.assertServes();
        }
    }
}
