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

    /**
     * Writes of others after each copy before the first restore, so that the versions given then
     * are not reached again in the run.
     */
    private static final int WRITES_PER_COPY = 500;

    private final Random random;
    private final StoreStandIn store;
    private final SoakStore rows;
    private final Deque<StoreCopy> copies = new ArrayDeque<>();
    private boolean restoredBefore;

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
            restoredBefore = true;
        }
        copies.addLast(store.copy());
        if (!restoredBefore) {
            for (int i = 0; i < WRITES_PER_COPY; i++) {
                store.put("of-others", "row", "text " + i);
            }
            rows.writeAgain();
        }
        if (copies.size() > MAX_COPIES) {
            copies.removeFirst();
        }
        return restores;
    }
}
