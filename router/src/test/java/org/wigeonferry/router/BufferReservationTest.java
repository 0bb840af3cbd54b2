package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class BufferReservationTest {
    private static final int LIMIT = 1 << 20;

    private final ResponseBudget budget = new ResponseBudget(LIMIT);

    @Test
    void smallResponsesNeedNoBudget() {
        assertThat(budget.tryReserve(LIMIT)).isTrue();
        assertThat(new BufferReservation(budget).tryResize(BufferReservation.FREE_BYTES)).isTrue();
        assertThat(new BufferReservation(budget).tryResize(BufferReservation.FREE_BYTES + 1))
                .isFalse();
    }

    @Test
    void closedReservationHoldsNothing() {
        BufferReservation reservation = new BufferReservation(budget);
        assertThat(reservation.tryResize(LIMIT)).isTrue();
        reservation.close();
        reservation.close();
        assertThat(budget.reservedBytes()).isZero();
        assertThat(reservation.tryResize(1)).isFalse();
    }

    /** Responses that grow, shrink and end at random never hold more than the limit together. */
    @Test
    void sumOfReservationsStaysBelowTheLimit() {
        for (long seed = 0; seed < 20; seed++) {
            Random random = new Random(seed);
            List<BufferReservation> reservations = new ArrayList<>();
            for (int step = 0; step < 500; step++) {
                if (random.nextInt(4) == 0 && !reservations.isEmpty()) {
                    reservations.remove(random.nextInt(reservations.size())).close();
                } else {
                    reservations.add(new BufferReservation(budget));
                }
                reservations.forEach(r -> r.tryResize(random.nextInt(LIMIT / 2)));
                assertThat(budget.reservedBytes()).isBetween(0L, (long) LIMIT);
            }
            reservations.forEach(BufferReservation::close);
            assertThat(budget.reservedBytes()).as("seed %d", seed).isZero();
        }
    }
}
