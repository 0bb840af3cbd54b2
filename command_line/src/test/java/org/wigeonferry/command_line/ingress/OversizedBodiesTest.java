package org.wigeonferry.command_line.ingress;

import org.junit.jupiter.api.Test;

/**
 * Guards against a router that keeps, or reads without end, bodies far over the limit: with a
 * length that says so, and in chunks that never end.
 */
class OversizedBodiesTest {
    private static final int CALLERS = 30;
    private static final long BODY_BYTES = 16L * IngressRouter.MAX_BODY_BYTES;
    private static final int PIECE_BYTES = 64 << 10;

    @Test
    void bodiesOfAKnownLength() throws Exception {
        try (IngressRouter router = new IngressRouter("oversized-known");
                CallerGroup group = new CallerGroup()) {
            for (String path : new String[] {"/safe/x", "/none"}) {
                group.send(
                        CALLERS / 2,
                        router.callers(),
                        out -> {
                            String length = "Content-Length: " + BODY_BYTES + "\r\n\r\n";
                            Pieces.writeText(out, router.openHead("POST", path) + length);
                            Pieces.writeBody(out, BODY_BYTES, PIECE_BYTES);
                        });
            }
            router.assertServes();
        }
    }

    @Test
    void bodiesInChunks() throws Exception {
        try (IngressRouter router = new IngressRouter("oversized-chunks");
                CallerGroup group = new CallerGroup()) {
            CallerScript chunks =
                    out -> {
                        String chunked = "Transfer-Encoding: chunked\r\n\r\n";
                        Pieces.writeText(out, router.openHead("POST", "/safe/x") + chunked);
                        Pieces.writeOpenChunks(out, BODY_BYTES, PIECE_BYTES);
                    };
            group.send(CALLERS / 3, router.callers(), chunks);
            group.send(CALLERS / 3, router.ready(), chunks);
            group.send(CALLERS / 3, router.metrics(), chunks);
            router.assertServes();
        }
    }
}
