package org.wigeonferry.routing;

/**
 * Whether requests of a kind may run repeatedly, and whether their answers are streams.
 *
 * <p>Immutable and thread safe.
 */
public enum RequestKind {
    /** Answer that is not streamed; may run any number of times. */
    SAFE(true, false),
    /** Answer that is not streamed; runs at most once. */
    UNSAFE(false, false),
    /** Streamed answer that can't be continued by another upstream; runs at most once. */
    STREAM(false, true),
    /** Streamed answer that another upstream can continue after the last event. */
    RESUMABLE_STREAM(true, true);

    private final boolean repeatable;
    private final boolean streamed;

    RequestKind(boolean repeatable, boolean streamed) {
        this.repeatable = repeatable;
        this.streamed = streamed;
    }

    /** Whether the same request may run more than once. */
    public boolean isRepeatable() {
        return repeatable;
    }

    /** Whether the answer is a stream of events. */
    public boolean isStreamed() {
        return streamed;
    }
}
