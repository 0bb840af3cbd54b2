package org.wigeonferry.command_line.ingress;

import org.junit.jupiter.api.Test;

/**
 * Guards against a router that runs out of memory while callers do not read large responses, which
 * it keeps until they do.
 */
class SlowReadersTest {
    private static final int CALLERS = 60;

    @Test
    void callersThatDoNotRead() throws Exception {
        try (IngressRouter router = new IngressRouter("slow-readers");
                CallerGroup group = new CallerGroup()) {
            group.send(
                    CALLERS,
                    router.callers(),
                    out -> Pieces.writeText(out, router.openHead("GET", "/safe/big") + "\r\n"));
            router.assertServes();
        }
    }

    /** The heap of the process holds a few such responses at a time. */
    @Test
    void largeResponseIsDeliveredInCalm() throws Exception {
        try (IngressRouter router = new IngressRouter("large-response")) {
            router.assertStatus(router.openHead("GET", "/safe/big") + "\r\n", 200);
        }
    }
}
