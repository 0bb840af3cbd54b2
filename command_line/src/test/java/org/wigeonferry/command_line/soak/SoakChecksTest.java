package org.wigeonferry.command_line.soak;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Each checker fails on a fault planted in a history, and passes on its sound twin. */
class SoakChecksTest {
    private static final String BODY = "r1";

    private long now;
    private final SoakHistory history = new SoakHistory(() -> now);

    @Test
    void unrepeatableRequestThatRanTwice() {
        call(SoakKind.BOOK, "k", 0, 100, answer(200, BODY));
        history.run("r1", "a");
        assertThat(breaches("unrepeatable request runs once")).isEmpty();
        history.run("r1", "b");
        assertThat(breaches("unrepeatable request runs once")).hasSize(1);
    }

    @Test
    void requestThatRanAndWasSaidNotTo() {
        call(SoakKind.BOOK, "k", 0, 100, new SoakAnswer(503, true, false, "{\"not_run\":true}"));
        assertThat(breaches("not run is said only of what did not run")).isEmpty();
        history.run("r1", "a");
        assertThat(breaches("not run is said only of what did not run")).hasSize(1);
    }

    @Test
    void answerThatNobodyRan() {
        call(SoakKind.LOOK, "k", 0, 100, answer(200, BODY));
        assertThat(breaches("an answer is of a run")).hasSize(1);
        history.run("r1", "a");
        assertThat(breaches("an answer is of a run")).isEmpty();
    }

    @Test
    void answerOfAnotherRequest() {
        call(SoakKind.LOOK, "k", 0, 100, answer(200, "r2"));
        history.run("r1", "a");
        assertThat(breaches("an answer is of a run")).hasSize(1);
    }

    @Test
    void streamWithAnEventTwice() {
        String once = SoakChecks.event("r1", 0);
        call(SoakKind.CHAT, "k", 0, 100, new SoakAnswer(200, false, true, once));
        assertThat(breaches("a stream's events come in order, once")).isEmpty();
        call(SoakKind.CHAT, "k", 0, 100, new SoakAnswer(200, false, true, once + once));
        assertThat(breaches("a stream's events come in order, once")).hasSize(1);
    }

    @Test
    void streamThatEndsEarlyAsIfWhole() {
        call(SoakKind.CHAT, "k", 0, 100, answer(200, SoakChecks.event("r1", 0)));
        assertThat(breaches("a stream's events come in order, once")).hasSize(1);
    }

    @Test
    void keyThatWorksAfterItsRevocation() {
        history.revoked("k");
        history.run("r1", "a");
        call(SoakKind.LOOK, "k", SoakChecks.REVOCATION, 5100, answer(200, BODY));
        assertThat(breaches("a revoked key stops working")).isEmpty();
        call(SoakKind.LOOK, "k", SoakChecks.REVOCATION + 1, 5100, answer(200, BODY));
        assertThat(breaches("a revoked key stops working")).hasSize(1);
    }

    @Test
    void upstreamThatLeftAndStillGetsRequests() {
        history.leaving("a");
        call(SoakKind.LOOK, "k", 2000, 2100, answer(200, BODY));
        now = SoakChecks.DRAIN + SoakChecks.LINK_DELAY + 1;
        history.run("r1", "a");
        assertThat(breaches("a leaving upstream gets nothing new")).hasSize(1);
        history.disturbed(0, 500, 600);
        assertThat(breaches("a leaving upstream gets nothing new")).isEmpty();
    }

    @Test
    void requestThatIsAnsweredLate() {
        long late = SoakChecks.PATIENCE + SoakChecks.SLACK + 1;
        call(SoakKind.LOOK, "k", 0, late, answer(200, BODY));
        assertThat(breaches("each request is answered in time")).hasSize(1);
        history.disturbed(0, 10, 20);
        assertThat(breaches("each request is answered in time")).isEmpty();
    }

    @Test
    void cutChunkIsNoWholeAnswer() {
        String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        SoakAnswer cut = SoakAnswer.parse((head + "5\r\nab").getBytes());
        assertThat(cut.whole()).isFalse();
        SoakAnswer whole = SoakAnswer.parse((head + "2\r\nab\r\n0\r\n\r\n").getBytes());
        assertThat(whole.whole()).isTrue();
        assertThat(whole.body()).isEqualTo("ab");
    }

    private java.util.List<String> breaches(String name) {
        return SoakChecks.all().get(name).breaches(history);
    }

    private void call(SoakKind kind, String key, long sent, long end, SoakAnswer answer) {
        history.call(new SoakCall("r1", kind, key, 0, sent, end, answer));
    }

    private static SoakAnswer answer(int status, String body) {
        return new SoakAnswer(status, true, true, body);
    }
}
