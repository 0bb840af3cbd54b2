package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class PoisonRegisterTest {
    private static final long NANOS_PER_SECOND = Fixtures.NANOS_PER_SECOND;
    private static final Incarnation A = new Incarnation("a", 1);
    private static final Incarnation B = new Incarnation("b", 1);
    private static final Incarnation C = new Incarnation("c", 1);

    private static final List<PromptPart> NO_PARTS = List.of();
    private static final LiveRouters ROUTERS = new LiveRouters("own", Set.of("own"), 1);

    private final PoisonRegister register = new PoisonRegister();

    @Test
    void requestIsRefusedAfterConnectionLossesAtThreeUpstreams() {
        register.onCrash("x", NO_PARTS, A, 0);
        register.onCrash("x", NO_PARTS, B, 1);
        assertThat(register.isRefused("x", NO_PARTS, ROUTERS, 2)).isFalse();
        assertThat(register.onCrash("x", NO_PARTS, C, 3)).isTrue();
        assertThat(register.isRefused("x", NO_PARTS, ROUTERS, 4)).isTrue();
    }

    @Test
    void simultaneousConnectionLossesAtOneUpstreamCountAsOne() {
        for (int i = 0; i < 5; i++) {
            assertThat(register.onCrash("x", NO_PARTS, A, i)).isFalse();
        }
        assertThat(register.isRefused("x", NO_PARTS, ROUTERS, 6)).isFalse();
    }

    @Test
    void repeatedConnectionLossesAtOneUpstreamAreCounted() {
        register.onCrash("x", NO_PARTS, A, 0);
        register.onCrash("x", NO_PARTS, A, 2 * NANOS_PER_SECOND);
        assertThat(register.onCrash("x", NO_PARTS, A, 4 * NANOS_PER_SECOND)).isTrue();
    }

    @Test
    void restartedUpstreamCountsAsAnotherUpstream() {
        register.onCrash("x", NO_PARTS, A, 0);
        register.onCrash("x", NO_PARTS, new Incarnation("a", 2), 1);
        assertThat(register.onCrash("x", NO_PARTS, new Incarnation("a", 3), 2)).isTrue();
    }

    @Test
    void answerClearsLossesThatOtherRoutersCountedBefore() {
        register.applyReport(crashes("x", 101, 102), 0);
        register.onAnswer("x", NO_PARTS, 0);
        register.onCrash("x", NO_PARTS, A, 30 * NANOS_PER_SECOND);
        register.applyReport(crashes("x", 101, 102), 31 * NANOS_PER_SECOND);
        assertThat(register.isRefused("x", NO_PARTS, ROUTERS, 31 * NANOS_PER_SECOND)).isFalse();
    }

    @Test
    void lossesReportedByOtherRoutersAfterAnAnswerAreCounted() {
        register.applyReport(crashes("x", 101, 102), 0);
        register.onAnswer("x", NO_PARTS, 0);
        register.applyReport(crashes("x", 101, 102, 103, 104, 105), 30 * NANOS_PER_SECOND);
        assertThat(register.isRefused("x", NO_PARTS, ROUTERS, 31 * NANOS_PER_SECOND)).isTrue();
    }

    @Test
    void countStartsOverAfterAnotherRouterDropsIt() {
        register.applyReport(crashes("x", 101, 102), 0);
        register.onAnswer("x", NO_PARTS, 0);
        register.applyReport(PoisonReport.EMPTY, 30 * NANOS_PER_SECOND);
        register.applyReport(crashes("x", 201, 202, 203), 31 * NANOS_PER_SECOND);
        assertThat(register.isRefused("x", NO_PARTS, ROUTERS, 32 * NANOS_PER_SECOND)).isTrue();
    }

    @Test
    void requestAnsweredRecentlyIsNotRefused() {
        register.onAnswer("x", NO_PARTS, 0);
        register.onCrash("x", NO_PARTS, A, NANOS_PER_SECOND);
        register.onCrash("x", NO_PARTS, B, NANOS_PER_SECOND);
        assertThat(register.onCrash("x", NO_PARTS, C, NANOS_PER_SECOND)).isFalse();
        assertThat(register.isRefused("x", NO_PARTS, ROUTERS, 2 * NANOS_PER_SECOND)).isFalse();
    }

    @Test
    void lossesLongAfterAnAnswerAreCounted() {
        register.onAnswer("x", NO_PARTS, 0);
        register.onCrash("x", NO_PARTS, A, 30 * NANOS_PER_SECOND);
        register.onCrash("x", NO_PARTS, B, 30 * NANOS_PER_SECOND);
        assertThat(register.onCrash("x", NO_PARTS, C, 30 * NANOS_PER_SECOND)).isTrue();
    }

    @Test
    void partIsCondemnedThoughNoTwoRequestsAreAlike() {
        register.onAnswer("sound", parts("common", "own-0"), 0);
        register.onCrash("x1", parts("common", "poison", "own-1"), A, NANOS_PER_SECOND);
        register.onCrash("x2", parts("common", "poison", "own-2"), B, NANOS_PER_SECOND);
        assertThat(register.onCrash("x3", parts("common", "poison", "own-3"), C, NANOS_PER_SECOND))
                .isTrue();
        assertThat(isRefused("x4", parts("common", "poison", "own-4"), 2)).isTrue();
        assertThat(isRefused("x5", parts("common", "own-5"), 2)).isFalse();
    }

    @Test
    void lastPartIsNoSuspect() {
        for (Incarnation upstream : List.of(A, B, C)) {
            register.onCrash("x" + upstream.id(), parts("session"), upstream, 0);
        }
        assertThat(isRefused("y", parts("session"), 1)).isFalse();
        assertThat(isRefused("y", parts("session", "own"), 1)).isFalse();
    }

    @Test
    void requestLostBesideAPoisonPartIsNotCondemned() {
        List<PromptPart> poison = parts("poison", "own-1");
        List<PromptPart> sound = parts("rare", "own-2");
        for (Incarnation upstream : List.of(A, B, C)) {
            register.onCrash("sound", sound, upstream, 0);
            register.onCrash("x" + upstream.id(), poison, upstream, 0);
        }
        register.onCrash("y", poison, new Incarnation("d", 1), 0);
        assertThat(isRefused("sound", sound, 1)).isFalse();
        assertThat(isRefused("z", parts("poison", "own-3"), 1)).isTrue();
    }

    @Test
    void oneOfTwoEqualSuspectsIsClearedByOneAnswerAtAnotherRouter() {
        for (Incarnation upstream : List.of(A, B, C)) {
            register.onCrash("x" + upstream.id(), parts("sound", "poison", "own"), upstream, 0);
        }
        assertThat(isRefused("y", parts("sound", "own-2"), 1)).isTrue();
        register.applyReport(
                new PoisonReport(Map.of(), Set.of(Suspects.ofPart("sound"))), NANOS_PER_SECOND);
        assertThat(isRefused("y", parts("sound", "own-2"), 2)).isFalse();
        assertThat(isRefused("y", parts("poison", "own-2"), 19)).isTrue();
    }

    @Test
    void answerHereIsNewsOnceAnotherRouterReportsCrashes() {
        register.onAnswer("y", parts("sound", "own"), 0);
        register.report(0);
        register.onPublished();
        CrashReport crashes = new CrashReport(Set.of(1, 2, 3), Duration.ZERO);
        register.applyReport(
                new PoisonReport(Map.of(Suspects.ofPart("sound"), crashes), Set.of()),
                NANOS_PER_SECOND);
        assertThat(register.news()).isEqualTo(PoisonNews.REPEATED_CRASH);
        assertThat(register.report(NANOS_PER_SECOND).answered())
                .containsExactly(Suspects.ofPart("sound"));
    }

    @Test
    void crashesReportedShortlyAfterAnAnswerNeverCount() {
        register.onAnswer("y", parts("sound", "own"), 0);
        CrashReport crashes = new CrashReport(Set.of(1, 2, 3), Duration.ZERO);
        PoisonReport report = new PoisonReport(Map.of(Suspects.ofPart("sound"), crashes), Set.of());
        register.applyReport(report, NANOS_PER_SECOND);
        register.applyReport(report, 21 * NANOS_PER_SECOND);
        assertThat(isRefused("z", parts("sound", "own-2"), 21)).isFalse();
    }

    @Test
    void requestThatTellsEqualSuspectsApartIsTriedByAnyRouter() {
        Set<String> names = Set.of("a", "b", "c", "d");
        for (Incarnation upstream : List.of(A, B, C)) {
            register.onCrash("x" + upstream.id(), parts("sound", "poison", "own"), upstream, 0);
        }
        for (String name : names) {
            PoisonRegister other = new PoisonRegister();
            other.applyReport(register.report(0), 0);
            LiveRouters routers = new LiveRouters(name, names, 1);
            assertThat(other.isRefused("y", parts("sound", "own-2"), routers, 2 * NANOS_PER_SECOND))
                    .isFalse();
            assertThat(other.isRefused("z", parts("sound", "own-3"), routers, 3 * NANOS_PER_SECOND))
                    .isTrue();
        }
    }

    @Test
    void condemnedSuspectIsTriedByOneRouterOneRequestAtATime() {
        Set<String> names = Set.of("a", "b", "c", "d");
        for (Incarnation upstream : List.of(A, B, C)) {
            register.onCrash("x" + upstream.id(), parts("poison", "own"), upstream, 0);
        }
        PoisonReport report = register.report(0);
        long trials = names.stream().mapToLong(name -> trials(name, names, report)).sum();
        assertThat(trials).isEqualTo(1);
    }

    /** Requests that a router lets pass in the second after the refusal of a suspect. */
    private static long trials(String name, Set<String> names, PoisonReport report) {
        PoisonRegister other = new PoisonRegister();
        other.applyReport(report, 0);
        LiveRouters routers = new LiveRouters(name, names, 1);
        return Stream.iterate(0, i -> i < 20, i -> i + 1)
                .filter(
                        i ->
                                !other.isRefused(
                                        "y" + i,
                                        parts("poison", "own-" + i),
                                        routers,
                                        20 * NANOS_PER_SECOND + i * NANOS_PER_SECOND / 20))
                .count();
    }

    @Test
    void evidenceOutlivesTheRouterThatSawIt() {
        PoisonRegister witness = new PoisonRegister();
        for (Incarnation upstream : List.of(A, B, C)) {
            witness.onCrash("x" + upstream.id(), parts("poison", "own"), upstream, 0);
        }
        register.applyReport(witness.report(0), 0);
        PoisonRegister restarted = new PoisonRegister();
        restarted.applyReport(register.report(NANOS_PER_SECOND), NANOS_PER_SECOND);
        assertThat(restarted.isRefused("y", parts("poison", "own"), ROUTERS, 2 * NANOS_PER_SECOND))
                .isTrue();
    }

    @Test
    void refusalEndsAndOneCrashMoreRenewsIt() {
        for (Incarnation upstream : List.of(A, B, C)) {
            register.onCrash("x" + upstream.id(), parts("poison", "own"), upstream, 0);
        }
        assertThat(isRefused("y", parts("poison", "own"), 19)).isTrue();
        assertThat(isRefused("y", parts("poison", "own"), 21)).isFalse();
        register.onCrash(
                "y", parts("poison", "own"), new Incarnation("d", 1), 22 * NANOS_PER_SECOND);
        assertThat(isRefused("y", parts("poison", "own"), 61)).isTrue();
    }

    @Test
    void reportStaysSmallWhateverCallersSend() {
        for (int i = 0; i < 5000; i++) {
            Incarnation upstream = new Incarnation("u" + i, 1);
            register.onCrash("x" + i, parts("p" + i + "y".repeat(8000), "own"), upstream, 0);
        }
        PoisonReport report = register.report(0);
        assertThat(report.crashes()).hasSizeBetween(1, 24);
        assertThat(report.crashes().keySet()).allMatch(suspect -> suspect.length() < 80);
    }

    private boolean isRefused(String digest, List<PromptPart> parts, long seconds) {
        return register.isRefused(digest, parts, ROUTERS, seconds * NANOS_PER_SECOND);
    }

    private static List<PromptPart> parts(String... ids) {
        return Arrays.stream(ids).map(id -> new PromptPart(id, 100)).toList();
    }

    private static PoisonReport crashes(String digest, Integer... keys) {
        CrashReport crashes = new CrashReport(Set.of(keys), Duration.ZERO);
        return new PoisonReport(Map.of(Suspects.ofDigest(digest), crashes), Set.of());
    }
}
