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

/** One poison request and many innocent ones, sent again after every crash. */
class PoisonFuzzTest {
    private static final int ENGINES = 6;
    private static final int STEPS = 400;

    @Property(tries = 500, seed = "20261204")
    void losesAtMostTwoEnginesAndCondemnsNoInnocent(@ForAll long seed) {
        Random random = new Random(seed ^ Long.getLong("wigeonferry.fuzz.seed", 0));
        SuspectRegister shared = new SuspectRegister(1000, Duration.ofHours(1));
        List<SimulatedEngine> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new SimulatedEngine(shared));
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
        assertThat(crashes).as("engines lost").isLessThanOrEqualTo(2);
        for (int i = 0; i < 30; i++) {
            assertThat(shared.isPoison("d" + i, 0)).as("innocent d" + i).isFalse();
        }
    }
}
