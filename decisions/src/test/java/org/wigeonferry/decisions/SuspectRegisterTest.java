package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class SuspectRegisterTest {
    private static final Duration LIFETIME = Duration.ofMinutes(10);

    private final SuspectRegister register = new SuspectRegister(3, LIFETIME);

    @Test
    void firstCrashMakesRequestsSuspectedOnly() {
        register.onCrash(lostRequests("poison", "innocent"), 0);
        assertThat(register.isSuspected("poison", 0)).isTrue();
        assertThat(register.isSuspected("innocent", 0)).isTrue();
        assertThat(register.isPoison("poison", 0)).isFalse();
    }

    @Test
    void secondCrashMarksTheOnlySuspectedRequestAsPoison() {
        register.onCrash(lostRequests("poison"), 0);
        register.onCrash(lostRequests("poison", "innocent"), 0);
        assertThat(register.isPoison("poison", 0)).isTrue();
        assertThat(register.isPoison("innocent", 0)).isFalse();
    }

    @Test
    void crashWithTwoSuspectedRequestsMarksNeitherAsPoison() {
        register.onCrash(lostRequests("poison", "innocent"), 0);
        register.onCrash(lostRequests("poison", "innocent"), 0);
        assertThat(register.isPoison("poison", 0)).isFalse();
        assertThat(register.isPoison("innocent", 0)).isFalse();
    }

    @Test
    void sameDigestTwiceInFlightIsOneSuspectedRequest() {
        register.onCrash(lostRequests("poison"), 0);
        register.onCrash(lostRequests("poison", "poison"), 0);
        assertThat(register.isPoison("poison", 0)).isTrue();
    }

    @Test
    void suspectedRequestThatFinishesIsCleared() {
        register.onCrash(lostRequests("innocent"), 0);
        register.onRequestFinished("innocent");
        assertThat(register.isSuspected("innocent", 0)).isFalse();
    }

    @Test
    void poisonMarkStaysUntilCleared() {
        register.merge(
                new Suspicion(
                        "poison",
                        /* poison= */ true,
                        /* answerBytes= */ 0,
                        /* crashes= */ 1,
                        /* lastCrashNanos= */ 0));
        register.onRequestFinished("poison");
        register.merge(
                new Suspicion(
                        "poison",
                        /* poison= */ false,
                        /* answerBytes= */ 0,
                        /* crashes= */ 1,
                        /* lastCrashNanos= */ 0));
        assertThat(register.isPoison("poison", 0)).isTrue();
        assertThat(register.clear("poison")).isTrue();
        assertThat(register.isPoison("poison", 0)).isFalse();
    }

    @Test
    void suspicionExpires() {
        register.merge(
                new Suspicion(
                        "poison",
                        /* poison= */ true,
                        /* answerBytes= */ 0,
                        /* crashes= */ 1,
                        /* lastCrashNanos= */ 0));
        assertThat(register.isPoison("poison", LIFETIME.toNanos() + 1)).isFalse();
    }

    @Test
    void keepsNoMoreThanTheMaximumOfDigests() {
        register.onCrash(lostRequests("a", "b", "c", "d", "e"), 0);
        assertThat(register.currentSuspicions(0)).hasSize(3);
    }

    @Test
    void secondCrashAtAnotherPositionDoesNotMarkAsPoison() {
        register.onCrash(List.of(new LostRequest("innocent", 12)), 0);
        register.onCrash(List.of(new LostRequest("innocent", 40)), 0);
        assertThat(register.isPoison("innocent", 0)).isFalse();
    }

    @Test
    void thirdCrashMarksAsPoisonAtAnyPosition() {
        register.onCrash(List.of(new LostRequest("poison", 12)), 0);
        register.onCrash(List.of(new LostRequest("poison", 40)), 0);
        register.onCrash(List.of(new LostRequest("poison", 80)), 0);
        assertThat(register.isPoison("poison", 0)).isTrue();
    }

    private static List<LostRequest> lostRequests(String... digests) {
        return Arrays.stream(digests).map(d -> new LostRequest(d, 0)).toList();
    }
}
