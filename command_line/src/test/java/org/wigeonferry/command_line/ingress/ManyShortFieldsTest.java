package org.wigeonferry.command_line.ingress;

import org.junit.jupiter.api.Test;

/**
 * Guards against a router that runs out of memory through heads of legal size made of very many
 * short fields: in memory, a field of four bytes takes about a hundred.
 */
class ManyShortFieldsTest {
    private static final int CALLERS = 360;

    /** As many as a head of 16 KiB holds beside the request line and the ordinary fields. */
    private static final int FIELDS = 4000;

    @Test
    void incompleteHeadsOfCallers() throws Exception {
        try (IngressRouter router = new IngressRouter("fields-callers");
                CallerGroup group = new CallerGroup()) {
            group.send(
                    CALLERS,
                    router.callers(),
                    out ->
                            Pieces.writeText(
                                    out,
                                    router.openHead("GET", "/safe/x")
                                            + Pieces.shortFields(FIELDS)));
            router.assertServes();
        }
    }

    @Test
    void incompleteHeadsAtReadinessAndMetrics() throws Exception {
        try (IngressRouter router = new IngressRouter("fields-readiness");
                CallerGroup group = new CallerGroup()) {
            CallerScript head =
                    out ->
                            Pieces.writeText(
                                    out,
                                    "GET /metrics HTTP/1.1\r\nHost: x\r\n"
                                            + Pieces.shortFields(FIELDS));
            group.send(CALLERS / 2, router.ready(), head);
            group.send(CALLERS / 2, router.metrics(), head);
            router.assertServes();
        }
    }

    /** The fields stay in memory while the body of the request is awaited. */
    @Test
    void completeHeadsWithIncompleteBodies() throws Exception {
        try (IngressRouter router = new IngressRouter("fields-with-body");
                CallerGroup group = new CallerGroup()) {
            group.send(
                    CALLERS,
                    router.callers(),
                    out ->
                            Pieces.writeText(
                                    out,
                                    router.openHead("POST", "/safe/x")
                                            + Pieces.shortFields(FIELDS)
                                            + "Content-Length: 2\r\n\r\nx"));
            router.assertServes();
        }
    }

    /** A limit that is too low for a single caller is no defence. */
    @Test
    void headOfManyFieldsIsServedInCalm() throws Exception {
        try (IngressRouter router = new IngressRouter("fields-calm")) {
            router.assertStatus(
                    router.openHead("GET", "/safe/x") + Pieces.shortFields(FIELDS) + "\r\n", 200);
        }
    }
}
