package org.wigeonferry.command_line;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.StepException;

/** A roll-out goes on, or is pulled back, without a person, also when its driver is killed. */
class RollOutFailureTest {
    private static final Duration PACE = Duration.ofMillis(12);

    private FailureHarness harness;

    @BeforeEach
    void start() throws StepException {
        harness = new FailureHarness();
        harness.chats(60, PACE, "small", 0, 1, 2).join();
    }

    @AfterEach
    void stop() throws Exception {
        harness.close();
    }

    @Test
    @Tag("known-red")
    void goodVersionReachesAllRequestsThoughItsDriverIsKilled() throws StepException {
        harness.apply(0, DemoNotes.rollOut(harness.plan(), "small-2", 20));
        CompletableFuture<List<DemoOutcome>> load = harness.chats(700, PACE, "small", 1, 2);
        harness.pause(Duration.ofMillis(900));
        harness.deployment().process(driver()).orElseThrow().kill();
        List<DemoOutcome> outcomes = load.join();
        assertThat(exposure("small-2")).isEqualTo(100);
        assertThat(outcomes).filteredOn(o -> o.end() == DemoEnd.ANSWERED).hasSizeGreaterThan(300);
    }

    @Test
    void badVersionIsPulledBack() throws StepException {
        harness.apply(0, DemoNotes.rollOut(harness.plan(), "small-bad", 20));
        harness.chats(500, PACE, "small", 0, 1, 2).join();
        assertThat(exposure("small-bad")).isZero();
        int exposed = harness.ledgers().starts("small-bad", upstream -> true);
        assertThat(exposed).as("requests that met the bad version").isLessThan(100);
    }

    /** The entry that holds the lease, or the first if none does yet. */
    private String driver() throws StepException {
        String holder = harness.leaseHolder();
        return harness.plan().entries().stream()
                .map(DemoEntry::name)
                .filter(holder::startsWith)
                .findFirst()
                .orElse(harness.entry(0).name());
    }

    private int exposure(String version) throws StepException {
        for (int entry = 0; entry < 3; entry++) {
            try {
                for (JsonNode row : harness.show(entry, "versions").body().path("versions")) {
                    if (row.path("id").asText().equals(version)) {
                        return row.path("exposure_percent").asInt();
                    }
                }
            } catch (StepException e) {
                continue;
            }
        }
        return -1;
    }
}
