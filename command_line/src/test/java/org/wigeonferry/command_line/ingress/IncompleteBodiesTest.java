package org.wigeonferry.command_line.ingress;

import org.junit.jupiter.api.Test;

/**
 * Guards against a router that runs out of memory, or answers no ordinary request, while many
 * callers hold bodies of legal size that lack their last byte. Each such body was kept in memory
 * for as long as its connection was open.
 */
class IncompleteBodiesTest {
    private static final int CALLERS = 60;
    private static final int BODY_BYTES = IngressRouter.MAX_BODY_BYTES;
    private static final int SMALL_PIECE_BYTES = 1000;

    private static String sized(String head) {
        return head + "Content-Length: " + BODY_BYTES + "\r\n\r\n";
    }

    private static String chunked(String head) {
        return head + "Transfer-Encoding: chunked\r\n\r\n";
    }

    @Test
    void bodiesInOnePiece() throws Exception {
        try (IngressRouter router = new IngressRouter("bodies-in-one-piece");
                CallerGroup group = new CallerGroup()) {
            group.send(
                    CALLERS,
                    router.callers(),
                    out -> {
                        Pieces.writeText(out, sized(router.openHead("POST", "/safe/x")));
                        Pieces.writeBody(out, BODY_BYTES - 1, BODY_BYTES);
                    });
            router.assertServes();
        }
    }

    @Test
    void bodiesInSmallPieces() throws Exception {
        try (IngressRouter router = new IngressRouter("bodies-in-small-pieces");
                CallerGroup group = new CallerGroup()) {
            group.send(
                    CALLERS,
                    router.callers(),
                    out -> {
                        Pieces.writeText(out, sized(router.openHead("POST", "/safe/x")));
                        Pieces.writeBody(out, BODY_BYTES - 1, SMALL_PIECE_BYTES);
                    });
            router.assertServes();
        }
    }

    /** Chunks of one byte: what the router keeps for a byte counts, not the byte alone. */
    @Test
    void bodiesInChunks() throws Exception {
        try (IngressRouter router = new IngressRouter("bodies-in-chunks");
                CallerGroup group = new CallerGroup()) {
            group.send(
                    CALLERS / 2,
                    router.callers(),
                    out -> {
                        Pieces.writeText(out, chunked(router.openHead("POST", "/safe/x")));
                        Pieces.writeOpenChunks(out, BODY_BYTES - 1, SMALL_PIECE_BYTES);
                    });
            group.send(
                    CALLERS / 2,
                    router.callers(),
                    out -> {
                        Pieces.writeText(out, chunked(router.openHead("POST", "/safe/x")));
                        Pieces.writeOpenChunks(out, BODY_BYTES >> 4, 1);
                    });
            router.assertServes();
        }
    }

    @Test
    void bodiesToOtherPathsAndPorts() throws Exception {
        try (IngressRouter router = new IngressRouter("bodies-to-other-paths");
                CallerGroup group = new CallerGroup()) {
            CallerScript body =
                    out -> {
                        Pieces.writeText(out, sized(router.openHead("POST", "/none")));
                        Pieces.writeBody(out, BODY_BYTES - 1, BODY_BYTES);
                    };
            group.send(CALLERS / 3, router.callers(), body);
            group.send(CALLERS / 3, router.ready(), body);
            group.send(CALLERS / 3, router.metrics(), body);
            router.assertServes();
        }
    }

    /** A limit that is too low for a single caller is no defence. */
    @Test
    void completeBodyIsServedInCalm() throws Exception {
        try (IngressRouter router = new IngressRouter("complete-body")) {
            router.assertStatus(
                    sized(router.openHead("POST", "/safe/x")) + "x".repeat(BODY_BYTES), 200);
        }
    }
}
