package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against an upstream or a request that is blamed for the end of an idle connection: the
 * upstream closes its idle connections, and requests that are sent at that moment are lost.
 */
class LostOnReuseTest {
    private static final long NOW = 100 * Fixtures.NANOS_PER_SECOND;
    private static final UpstreamInstance UPSTREAM = Fixtures.upstream("a", "desk");

    private final RoutingState state = Fixtures.state(Fixtures.config(1), NOW);

    private Job newJob() {
        return Fixtures.admit(state, Fixtures.request("look"), NOW);
    }

    private Send place(Job job) {
        return (Send) Fixtures.place(state, job, NOW);
    }

    private void lose(Job job, Send send) {
        state.onSendEnd(
                job,
                "content",
                Fixtures.reportWithoutHeaders(send, SendOutcome.LOST_ON_REUSE),
                NOW);
    }

    @Test
    void requestIsSentAgainToTheSameUpstreamAtOnce() {
        state.upstreams().put(UPSTREAM, NOW);
        Job job = newJob();
        lose(job, place(job));
        assertThat(place(job).upstream()).isEqualTo(UPSTREAM);
        assertThat(job.wasLostOnReuse()).isTrue();
    }

    @Test
    void upstreamIsNeitherSuspendedNorMarkedAsLost() {
        state.upstreams().put(UPSTREAM, NOW);
        for (int i = 0; i < 5; i++) {
            Job job = newJob();
            lose(job, place(job));
        }
        UpstreamState upstream = state.upstreams().state(UPSTREAM.incarnation()).orElseThrow();
        assertThat(upstream.isSuspended(NOW)).isFalse();
        assertThat(upstream.failureShare()).isZero();
        assertThat(upstream.isCold(NOW)).isFalse();
        assertThat(upstream.runningSends()).isZero();
        assertThat(state.upstreams().takeLostUpstreams()).isEmpty();
    }

    @Test
    void requestIsNotSuspectedOfACrash() {
        state.upstreams().put(UPSTREAM, NOW);
        for (int i = 0; i < 5; i++) {
            Job job = newJob();
            lose(job, place(job));
        }
        LiveRouters routers = new LiveRouters("own", Set.of(), 1);
        assertThat(state.poisonRegister().isRefused("content", List.of(), routers, NOW)).isFalse();
    }

    /** The upstream may have run the request before the connection ended. */
    @Test
    void lossCountsAsAPossibleRun() {
        state.upstreams().put(UPSTREAM, NOW);
        Job job = newJob();
        lose(job, place(job));
        lose(job, place(job));
        assertThat(job.possibleRuns()).isEqualTo(2);
        assertThat(Fixtures.place(state, job, NOW)).isInstanceOf(Refused.class);
    }

    /** The budget allows 8 retries and half a retry for each first send. */
    @Test
    void lossesStayWithinTheRetryBudget() {
        state.upstreams().put(UPSTREAM, NOW);
        int retries = 0;
        for (int i = 0; i < 40; i++) {
            Job job = newJob();
            lose(job, place(job));
            if (Fixtures.place(state, job, NOW) instanceof Send send) {
                retries++;
                state.onSendEnd(
                        job,
                        "content",
                        Fixtures.reportWithHeaders(send, SendOutcome.ANSWERED),
                        NOW);
            }
        }
        assertThat(retries).isPositive().isLessThanOrEqualTo(8 + 40 / 2);
    }
}
