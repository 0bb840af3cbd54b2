package org.wigeonferry.command_line;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.StepException;

/** The platform's table service is down, or loses its answers. */
class StoreFailureTest {
    private static final Duration PACE = Duration.ofMillis(20);

    private FailureHarness harness;

    @BeforeEach
    void start() throws StepException {
        harness = new FailureHarness();
    }

    @AfterEach
    void stop() throws Exception {
        harness.close();
    }

    @Test
    void modelsAnswerThroughAnOutageAndEveryAnswerIsBilledOnce() throws StepException {
        harness.chats(20, PACE, "auto", 0, 1, 2).join();
        harness.tableFault("down");
        List<DemoOutcome> during = harness.chats(250, PACE, "auto", 0, 1, 2).join();
        assertThat(during).allMatch(o -> o.end() == DemoEnd.ANSWERED);
        harness.tableFault("none");
        harness.deployment().stopDaemons();
        assertThat(harness.ledgers().bills()).containsAll(billKeys(during));
    }

    @Test
    void billsOfALostEntryAreWrittenByTheirHolder() throws StepException {
        harness.chats(20, PACE, "auto", 0, 1, 2).join();
        harness.tableFault("down");
        List<DemoOutcome> answered = harness.chats(20, PACE, "auto", 0).join();
        harness.deployment().process(harness.entry(0).name()).orElseThrow().kill();
        harness.tableFault("none");
        harness.pause(Duration.ofSeconds(17));
        assertThat(harness.ledgers().bills()).containsAll(billKeys(answered));
    }

    @Test
    void bookingsNeverRunTwiceThroughAnOutage() throws StepException {
        harness.books(5, 0, "before-").join();
        harness.tableFault("down");
        var during = harness.books(10, 0, "during-");
        harness.pause(Duration.ofSeconds(3));
        harness.tableFault("none");
        during.join();
        List<DemoOutcome> again = harness.books(10, 1, "during-").join();
        assertThat(again).noneMatch(o -> o.end() == DemoEnd.NOT_RUN);
        assertThat(harness.ledgers().doubleRuns()).isZero();
    }

    @Test
    void bookingsNeverRunTwiceWhenAnswersAreLost() throws StepException {
        harness.books(5, 0, "before-").join();
        harness.tableFault("answer_lost");
        var during = harness.books(10, 0, "lost-");
        harness.pause(Duration.ofSeconds(1));
        harness.tableFault("none");
        assertThat(during.join()).allMatch(o -> o.end() == DemoEnd.ANSWERED);
        assertThat(harness.books(10, 2, "lost-").join()).allMatch(o -> o.end() == DemoEnd.ANSWERED);
        assertThat(harness.ledgers().doubleRuns()).isZero();
    }

    @Test
    void entriesThatRestartWithoutTheStoreTakeTheConfigurationFromPeers() throws StepException {
        harness.chats(20, PACE, "auto", 0, 1, 2).join();
        harness.tableFault("down");
        DemoEntry entry = harness.entry(0);
        harness.deployment().process(entry.name()).orElseThrow().kill();
        harness.deployment().startEntry(entry);
        harness.deployment().awaitReady();
        harness.pause(Duration.ofSeconds(2));
        List<DemoOutcome> outcomes = harness.chats(20, PACE, "auto", 0).join();
        assertThat(outcomes).allMatch(o -> o.end() == DemoEnd.ANSWERED);
    }

    private static Set<String> billKeys(List<DemoOutcome> outcomes) {
        return outcomes.stream()
                .map(DemoOutcome::billKey)
                .flatMap(Optional::stream)
                .collect(Collectors.toSet());
    }
}
