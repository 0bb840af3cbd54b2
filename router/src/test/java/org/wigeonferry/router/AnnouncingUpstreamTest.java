package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeonferry.stand_ins.ScriptedUpstream;
import org.wigeonferry.stand_ins.UpstreamScript;

/**
 * Guards against requests to an upstream that has said with an answer that it leaves, that it wants
 * none for a while, or how many it takes.
 */
class AnnouncingUpstreamTest {
    private static final String OK = "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\n";
    private static final String REFUSAL =
            "HTTP/1.1 503 Service Unavailable\r\nId: id-1\r\nStamp: s\r\nNot-Run: 1\r\n";
    private static final String BODY = "Content-Length: 2\r\n\r\nok";

    private static UpstreamScript answer(String text) {
        return (head, socket) -> {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
        };
    }

    @Test
    void upstreamThatLeavesGetsNoMoreRequests() throws Exception {
        try (ScriptedUpstream leaving = new ScriptedUpstream(answer(OK + "Leaving: 1\r\n" + BODY));
                ScriptedUpstream other = new ScriptedUpstream(answer(OK + BODY));
                RouterHarness harness = new RouterHarness(List.of(leaving, other))) {
            for (int i = 0; i < 30; i++) {
                assertThat(harness.exchange("POST", "/unsafe/x", "body"))
                        .startsWith("HTTP/1.1 200");
            }
            assertThat(leaving.requests()).hasSizeLessThanOrEqualTo(1);
        }
    }

    @Test
    void upstreamThatWantsNothingForAWhileGetsNothing() throws Exception {
        String refusal = REFUSAL + "Retry-After: 30\r\n" + BODY;
        try (ScriptedUpstream pausing = new ScriptedUpstream(answer(refusal));
                ScriptedUpstream other = new ScriptedUpstream(answer(OK + BODY));
                RouterHarness harness = new RouterHarness(List.of(pausing, other))) {
            for (int i = 0; i < 30; i++) {
                assertThat(harness.exchange("POST", "/unsafe/x", "body"))
                        .startsWith("HTTP/1.1 200");
            }
            assertThat(pausing.requests()).hasSizeLessThanOrEqualTo(1);
        }
    }

    @Test
    void callerLearnsWhenTheFirstUpstreamWantsRequestsAgain() throws Exception {
        String refusal = REFUSAL + "Retry-After: 30\r\n" + BODY;
        try (ScriptedUpstream pausing = new ScriptedUpstream(answer(refusal));
                RouterHarness harness = new RouterHarness(List.of(pausing))) {
            harness.exchange("POST", "/unsafe/x", "body");
            String response = harness.exchange("POST", "/unsafe/x", "body");
            assertThat(response).startsWith("HTTP/1.1 503").containsPattern("Retry-After: 3[01]");
            assertThat(response).contains("\"not_run\":true");
            assertThat(pausing.requests()).hasSize(1);
        }
    }

    /** A limit of 0 leaves the five requests that any limit allows beyond its rate. */
    @Test
    void upstreamThatLimitsItsRequestsGetsNoMore() throws Exception {
        try (ScriptedUpstream limited = new ScriptedUpstream(answer(OK + "Limit: 0\r\n" + BODY));
                ScriptedUpstream other = new ScriptedUpstream(answer(OK + BODY));
                RouterHarness harness = new RouterHarness(List.of(limited, other))) {
            for (int i = 0; i < 30; i++) {
                assertThat(harness.exchange("POST", "/unsafe/x", "body"))
                        .startsWith("HTTP/1.1 200");
            }
            assertThat(limited.requests()).hasSizeBetween(1, 6);
        }
    }

    @Test
    void requestBeyondTheLimitOfAllUpstreamsIsRefusedAtOnce() throws Exception {
        try (ScriptedUpstream limited = new ScriptedUpstream(answer(OK + "Limit: 0\r\n" + BODY));
                RouterHarness harness = new RouterHarness(List.of(limited))) {
            String response = "";
            for (int i = 0; i < 7; i++) {
                response = harness.exchange("POST", "/unsafe/x", "body");
            }
            assertThat(response).startsWith("HTTP/1.1 503").containsPattern("Retry-After: [1-4]");
            assertThat(response).contains("\"not_run\":true");
        }
    }

    @Test
    void allUpstreamsThatLeaveRefuseAtOnce() throws Exception {
        try (ScriptedUpstream leaving = new ScriptedUpstream(answer(OK + "Leaving: 1\r\n" + BODY));
                RouterHarness harness = new RouterHarness(List.of(leaving))) {
            harness.exchange("POST", "/unsafe/x", "body");
            String response = harness.exchange("POST", "/unsafe/x", "body");
            assertThat(response).startsWith("HTTP/1.1 503").contains("Retry-After: ");
            assertThat(leaving.requests()).hasSize(1);
        }
    }
}
