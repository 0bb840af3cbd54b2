package org.wigeonferry.measurements;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;

/**
 * Time and garbage of an operation.
 *
 * <p>Immutable and thread safe.
 *
 * @param nanos processor time of one operation in nanoseconds
 * @param bytes bytes allocated by one operation
 */
record Cost(double nanos, double bytes) {
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();
    private static final int WARM_UP_ROUNDS = 3;
    private static final int ROUNDS = 5;

    /** Measures an operation: warm-up rounds first, then the best of some rounds. */
    static Cost of(int repeats, Runnable operation) {
        for (int i = 0; i < WARM_UP_ROUNDS; i++) {
            round(repeats, operation);
        }
        Cost best = round(repeats, operation);
        for (int i = 1; i < ROUNDS; i++) {
            Cost next = round(repeats, operation);
            best = next.nanos() < best.nanos() ? next : best;
        }
        return best;
    }

    private static Cost round(int repeats, Runnable operation) {
        long bytes = THREADS.getCurrentThreadAllocatedBytes();
        long nanos = THREADS.getCurrentThreadCpuTime();
        for (int i = 0; i < repeats; i++) {
            operation.run();
        }
        return new Cost(
                (double) (THREADS.getCurrentThreadCpuTime() - nanos) / repeats,
                (double) (THREADS.getCurrentThreadAllocatedBytes() - bytes) / repeats);
    }
}
