package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that share a poison prompt part, no two alike, crashing one upstream
 * after the other once the heads of their answers have arrived.
 */
class PoisonPromptPartTest {
    private static final long NOW_NANOS = 100 * Fixtures.NANOS_PER_SECOND;

    private final RoutingState state = Fixtures.state(Fixtures.config(7), NOW_NANOS);

    @Test
    void requestsThatShareAPoisonPartStopReachingUpstreams() {
        answerSoundRequest("sound-1");
        int crashes = 0;
        for (int i = 0; i < 8; i++) {
            crashes += isSentAndCrashes("poison-" + i) ? 1 : 0;
        }
        assertThat(crashes).isLessThanOrEqualTo(5);
        answerSoundRequest("sound-2");
    }

    private void answerSoundRequest(String id) {
        state.upstreams().put(Fixtures.upstream("u-" + id, "model"), NOW_NANOS);
        Job job = Fixtures.admit(state, request(id, "common", "shared", id), NOW_NANOS);
        PlacementResult placement = Fixtures.place(state, job, NOW_NANOS);
        assertThat(placement).isInstanceOf(Send.class);
        end((Send) placement, job, id, SendOutcome.ANSWERED);
    }

    private boolean isSentAndCrashes(String id) {
        state.upstreams().put(Fixtures.upstream("u-" + id, "model"), NOW_NANOS);
        Job job = Fixtures.admit(state, request(id, "common", "shared", "poison", id), NOW_NANOS);
        PlacementResult placement =
                state.routeJob(job, "d-" + id, NOW_NANOS, Fixtures.wallMillis(NOW_NANOS));
        if (!(placement instanceof Send send)) {
            return false;
        }
        end(send, job, id, SendOutcome.BROKEN);
        state.upstreams().remove(send.upstream().id(), NOW_NANOS);
        return true;
    }

    private void end(Send send, Job job, String id, SendOutcome outcome) {
        SendReport headOnly =
                new SendReport(send, outcome, true, Optional.empty(), Optional.empty());
        state.onSendEnd(job, "d-" + id, headOnly, NOW_NANOS);
    }

    private static RoutedRequest request(String id, String... partIds) {
        RoutedRequest plain = Fixtures.request("chat", id, Optional.empty());
        List<PromptPart> parts =
                Arrays.stream(partIds).map(part -> new PromptPart(part, 50)).toList();
        return new RoutedRequest(
                plain.id(),
                plain.host(),
                plain.path(),
                plain.key(),
                plain.callerTimeout(),
                plain.sessionId(),
                plain.model(),
                parts,
                plain.promptTokens(),
                plain.maxAnswerTokens(),
                plain.resumeAfter());
    }
}
