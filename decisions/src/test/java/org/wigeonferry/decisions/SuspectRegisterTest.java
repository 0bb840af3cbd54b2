package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class SuspectRegisterTest {
    private static final Duration LIFETIME = Duration.ofMinutes(10);

    private final SuspectRegister register = new SuspectRegister(3, LIFETIME);

    @Test
    void firstCrashMakesSuspectsOnly() {
        register.onCrash(List.of("poison", "innocent"), 0);
        assertThat(register.suspected("poison", 0)).isTrue();
        assertThat(register.suspected("innocent", 0)).isTrue();
        assertThat(register.condemned("poison", 0)).isFalse();
    }

    @Test
    void secondCrashWithOneSuspectCondemnsItAndNoOther() {
        register.onCrash(List.of("poison"), 0);
        register.onCrash(List.of("poison", "innocent"), 0);
        assertThat(register.condemned("poison", 0)).isTrue();
        assertThat(register.condemned("innocent", 0)).isFalse();
    }

    @Test
    void crashWithTwoSuspectsCondemnsNeither() {
        register.onCrash(List.of("poison", "innocent"), 0);
        register.onCrash(List.of("poison", "innocent"), 0);
        assertThat(register.condemned("poison", 0)).isFalse();
        assertThat(register.condemned("innocent", 0)).isFalse();
    }

    @Test
    void sameDigestTwiceInFlightIsOneSuspect() {
        register.onCrash(List.of("poison"), 0);
        register.onCrash(List.of("poison", "poison"), 0);
        assertThat(register.condemned("poison", 0)).isTrue();
    }

    @Test
    void suspectThatFinishesIsCleared() {
        register.onCrash(List.of("innocent"), 0);
        register.onFinished("innocent");
        assertThat(register.suspected("innocent", 0)).isFalse();
    }

    @Test
    void condemnedStaysCondemnedUntilCleared() {
        register.merge(new Suspicion("poison", true, 0));
        register.onFinished("poison");
        register.merge(new Suspicion("poison", false, 0));
        assertThat(register.condemned("poison", 0)).isTrue();
        assertThat(register.clear("poison")).isTrue();
        assertThat(register.condemned("poison", 0)).isFalse();
    }

    @Test
    void suspicionExpires() {
        register.merge(new Suspicion("poison", true, 0));
        assertThat(register.condemned("poison", LIFETIME.toNanos() + 1)).isFalse();
    }

    @Test
    void keepsNoMoreThanItsCapacity() {
        register.onCrash(List.of("a", "b", "c", "d", "e"), 0);
        assertThat(register.all(0)).hasSize(3);
    }
}
