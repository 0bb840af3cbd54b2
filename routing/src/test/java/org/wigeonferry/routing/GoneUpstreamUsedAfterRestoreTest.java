package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** An upstream that was leaving was used again, as the store came back from an older copy. */
class GoneUpstreamUsedAfterRestoreTest {
    private static final long NOW_NANOS = 100 * Fixtures.NANOS_PER_SECOND;
    private static final UpstreamInstance UPSTREAM = Fixtures.upstream("a", "desk");

    private final RoutingState state = Fixtures.state(Fixtures.config(7), NOW_NANOS);

    @BeforeEach
    void addUpstream() {
        state.upstreams().put(UPSTREAM, NOW_NANOS);
    }

    @Test
    void drainingUpstreamOfTheCopyStaysDraining() {
        state.upstreams().put(draining(), after(1));
        state.upstreams().onStoreRestored(after(2));
        state.upstreams().put(UPSTREAM, after(2));
        assertThat(isUsed(2)).isFalse();
    }

    @Test
    void goneUpstreamOfTheCopyIsNotUsed() {
        state.upstreams().remove("a", after(1));
        state.upstreams().onStoreRestored(after(2));
        state.upstreams().put(UPSTREAM, after(2));
        state.upstreams().onAllRead();
        assertThat(isUsed(2)).isFalse();
        state.upstreams().remove("a", after(5));
        assertThat(isUsed(9)).isFalse();
    }

    @Test
    void upstreamThatRegistersAgainIsUsed() {
        state.upstreams().remove("a", after(1));
        state.upstreams().onStoreRestored(after(2));
        state.upstreams().put(UPSTREAM, after(2));
        state.upstreams().onAllRead();
        state.upstreams().put(UPSTREAM, after(3));
        assertThat(isUsed(3)).isTrue();
    }

    /** It may have registered again just before the copy was read. */
    @Test
    void upstreamWhoseRowDoesNotExpireIsUsed() {
        state.upstreams().remove("a", after(1));
        state.upstreams().onStoreRestored(after(2));
        state.upstreams().put(UPSTREAM, after(2));
        state.upstreams().onAllRead();
        assertThat(isUsed(9)).isTrue();
    }

    @Test
    void upstreamThatIsBackWithoutARestoreIsUsed() {
        state.upstreams().remove("a", after(1));
        state.upstreams().put(UPSTREAM, after(2));
        assertThat(isUsed(2)).isTrue();
    }

    private static UpstreamInstance draining() {
        return new UpstreamInstance(
                UPSTREAM.incarnation(),
                UPSTREAM.address(),
                UPSTREAM.service(),
                UPSTREAM.zone(),
                UPSTREAM.release(),
                UPSTREAM.slots(),
                true,
                UPSTREAM.coldTimeLeft());
    }

    private static long after(int seconds) {
        return NOW_NANOS + seconds * Fixtures.NANOS_PER_SECOND;
    }

    private boolean isUsed(int afterSeconds) {
        long now = after(afterSeconds);
        state.upstreams().removeExpired(now);
        Fixtures.confirmConfig(state, now);
        Job job = Fixtures.admit(state, Fixtures.request("book"), now);
        return Fixtures.place(state, job, now) instanceof Send;
    }
}
