package org.wigeonferry.routing.prediction;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class LowestTimeTest {
    @Test
    void nothingIsChosenFromNothing() {
        assertThat(new LowestTime(0).best()).isEmpty();
    }

    /** The hash must not send a request to an upstream that is clearly slower. */
    @Test
    void clearlySlowerCandidateIsNeverChosen() {
        Random random = new Random(9);
        for (int i = 0; i < 1000; i++) {
            LowestTime lowest = new LowestTime(2);
            lowest.add(1.3, random.nextDouble() * 9, random.nextDouble());
            lowest.add(1, random.nextDouble() * 9, random.nextDouble());
            assertThat(lowest.best()).hasValue(1);
        }
    }

    /** A fixed order would send all requests of all routers to the same candidate. */
    @Test
    void hashChoosesBetweenNearlyEqualCandidates() {
        Random random = new Random(9);
        int first = 0;
        for (int i = 0; i < 1000; i++) {
            LowestTime lowest = new LowestTime(2);
            lowest.add(1, 0, random.nextDouble());
            lowest.add(1.01, 0, random.nextDouble());
            first += lowest.best().getAsInt() == 0 ? 1 : 0;
        }
        assertThat(first).isBetween(400, 600);
    }
}
