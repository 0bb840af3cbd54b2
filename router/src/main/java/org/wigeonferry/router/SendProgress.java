package org.wigeonferry.router;

import java.time.Duration;
import java.util.Optional;

/**
 * When the bytes of a response came.
 *
 * <p>Invariant: no progress is recorded before the first byte. Changed by the traffic thread that
 * reads the response; may be read on any thread.
 */
final class SendProgress {
    private final long startNanos;
    private volatile long firstByteNanos;
    private volatile long lastProgressNanos;
    private volatile int events;

    SendProgress(long startNanos) {
        this.startNanos = startNanos;
    }

    /** Records bytes of the body; only the first ones count as progress by themselves. */
    void onBytes(long nowNanos) {
        if (hasBegun()) {
            return;
        }
        lastProgressNanos = nowNanos;
        firstByteNanos = nowNanos;
    }

    /**
     * Records enough bytes to count: single bytes do not count, as a stalled upstream may send one
     * now and then.
     */
    void onProgress(long nowNanos) {
        lastProgressNanos = nowNanos;
    }

    /** Records that the stream has this many complete events now. */
    void onEvents(int newEvents, long nowNanos) {
        lastProgressNanos = nowNanos;
        events = newEvents;
    }

    boolean hasBegun() {
        return firstByteNanos != 0;
    }

    /** Time since the last progress, or since the send was made. */
    Duration silence(long nowNanos) {
        return Duration.ofNanos(nowNanos - (hasBegun() ? lastProgressNanos : startNanos));
    }

    long lastProgressNanos() {
        return lastProgressNanos;
    }

    Optional<Duration> timeToFirstByte() {
        return hasBegun()
                ? Optional.of(Duration.ofNanos(firstByteNanos - startNanos))
                : Optional.empty();
    }

    /** Mean time between complete events; empty if there are fewer than two. */
    Optional<Duration> meanEventGap() {
        return events < 2
                ? Optional.empty()
                : Optional.of(
                        Duration.ofNanos((lastProgressNanos - firstByteNanos) / (events - 1)));
    }

    /** Mean time for an event of a stream that goes on; empty if there is none. */
    Optional<Duration> meanTimePerEvent(long nowNanos) {
        return events == 0
                ? Optional.empty()
                : Optional.of(Duration.ofNanos((nowNanos - firstByteNanos) / events));
    }
}
