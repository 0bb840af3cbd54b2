package org.wigeonferry.command_line.soak;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import org.wigeonferry.stand_ins.StoreCopy;
import org.wigeonferry.stand_ins.StoreStandIn;

/**
 * Lets the store come back from copies some seconds old.
 *
 * <p>Draws from a random source of its own, so that a seed plays the same other faults with and
 * without restores. Used by one thread.
 */
final class StoreRestores {
    private static final int FAULTS_PER_RESTORE = 5;
    private static final int MAX_COPIES = 8;

    private final Random random;
    private final StoreStandIn store;
    private final SoakStore rows;
    private final Deque<StoreCopy> copies = new ArrayDeque<>();

    StoreRestores(long seed, StoreStandIn store, SoakStore rows) {
        random = new Random(seed);
        this.store = store;
        this.rows = rows;
    }

    /** Called with each fault: takes a copy, and at times goes back to the oldest one first. */
    boolean maybeRestore() {
        boolean restores = !copies.isEmpty() && random.nextInt(FAULTS_PER_RESTORE) == 0;
        if (restores) {
            rows.restore(copies.removeFirst());
            copies.clear();
        }
        copies.addLast(store.copy());
        if (copies.size() > MAX_COPIES) {
            copies.removeFirst();
        }
        return restores;
    }
}
