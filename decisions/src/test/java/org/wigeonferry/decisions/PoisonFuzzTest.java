package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.wigeonferry.core_types.RequestId;
import org.wigeonferry.core_types.StartOrder;

/** Sends one poison request and many harmless ones to the engines, again and again, at random. */
class PoisonFuzzTest {
    private static final int ENGINES = 6;
    private static final int STEPS = 400;

    @Property(tries = 500, seed = "20261204")
    void poisonCausesAtMostTwoCrashesAndNoHarmlessRequestIsPoison(@ForAll long seed) {
        Random random = new Random(seed ^ Long.getLong("wigeonferry.fuzz.seed", 0));
        SuspectRegister sharedSuspects = new SuspectRegister(1000, Duration.ofHours(1));
        List<SimulatedEngine> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new SimulatedEngine(sharedSuspects));
        }
        int crashes = 0;
        for (int i = 0; i < STEPS; i++) {
            SimulatedEngine engine = engines.get(random.nextInt(ENGINES));
            String digest = random.nextInt(10) == 0 ? "poison" : "d" + random.nextInt(30);
            StartOrder order =
                    AdmissionFixtures.order()
                            .requestId(new RequestId("r" + i))
                            .requestDigest(digest)
                            .build();
            Optional<?> refusal = engine.admit(order);
            if (refusal.isEmpty() && digest.equals("poison")) {
                engine.crash();
                crashes++;
            }
            if (random.nextInt(3) == 0) {
                engine.finishOldestAttempt();
            }
        }
        assertThat(crashes).as("crashes caused by the poison request").isLessThanOrEqualTo(2);
        for (int i = 0; i < 30; i++) {
            assertThat(sharedSuspects.isPoison("d" + i, 0))
                    .as("harmless request marked as poison: d" + i)
                    .isFalse();
        }
    }
}
