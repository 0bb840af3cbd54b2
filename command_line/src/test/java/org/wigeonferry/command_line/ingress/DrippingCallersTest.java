package org.wigeonferry.command_line.ingress;

import org.junit.jupiter.api.Test;

/**
 * Guards against callers that send or read a byte now and then, so that no idle timeout ends them:
 * they kept the router's descriptors and its memory for as long as they liked.
 */
class DrippingCallersTest {
    /** More than the process has file descriptors. */
    private static final int SENDERS = 700;

    private static final int READERS = 60;

    @Test
    void headsByteByByte() throws Exception {
        try (IngressRouter router = new IngressRouter("dripping-heads");
                CallerGroup group = new CallerGroup()) {
            group.drip(SENDERS, router.callers(), router.openHead("GET", "/safe/x"), "a: b\r\n");
            router.assertServes();
        }
    }

    @Test
    void bodiesByteByByte() throws Exception {
        try (IngressRouter router = new IngressRouter("dripping-bodies");
                CallerGroup group = new CallerGroup()) {
            String head = router.openHead("POST", "/safe/x") + "Content-Length: 4194304\r\n\r\n";
            group.drip(SENDERS, router.callers(), head, "x");
            router.assertServes();
        }
    }

    @Test
    void responsesByteByByte() throws Exception {
        try (IngressRouter router = new IngressRouter("sipping-readers");
                CallerGroup group = new CallerGroup()) {
            group.sip(READERS, router.callers(), router.openHead("GET", "/safe/big") + "\r\n");
            router.assertServes();
        }
    }
}
