package org.wigeonferry.command_line.ingress;

import org.junit.jupiter.api.Test;

/**
 * Guards against a router that runs out of file descriptors through callers that stop midway, and
 * so can accept no caller and connect to no upstream.
 */
class SlowSendersTest {
    /** More than the process has file descriptors. */
    private static final int CALLERS = 700;

    @Test
    void callersThatStopWithinTheHead() throws Exception {
        try (IngressRouter router = new IngressRouter("stop-within-head");
                CallerGroup group = new CallerGroup()) {
            group.send(
                    CALLERS,
                    router.callers(),
                    out -> Pieces.writeText(out, router.openHead("GET", "/safe/x")));
            router.assertServes();
        }
    }

    @Test
    void callersThatStopWithinTheBody() throws Exception {
        try (IngressRouter router = new IngressRouter("stop-within-body");
                CallerGroup group = new CallerGroup()) {
            group.send(
                    CALLERS,
                    router.callers(),
                    out ->
                            Pieces.writeText(
                                    out,
                                    router.openHead("POST", "/safe/x")
                                            + "Content-Length: 9\r\n\r\nx"));
            router.assertServes();
        }
    }

    @Test
    void callersThatSendNothing() throws Exception {
        try (IngressRouter router = new IngressRouter("send-nothing");
                CallerGroup group = new CallerGroup()) {
            group.send(CALLERS, router.callers(), out -> {});
            router.assertServes();
        }
    }

    @Test
    void callersThatStopAtReadinessAndMetrics() throws Exception {
        try (IngressRouter router = new IngressRouter("stop-at-readiness");
                CallerGroup group = new CallerGroup()) {
            CallerScript half = out -> Pieces.writeText(out, "GET /metrics HTTP/1.1\r\n");
            group.send(CALLERS / 2, router.ready(), half);
            group.send(CALLERS / 2, router.metrics(), half);
            router.assertServes();
        }
    }
}
