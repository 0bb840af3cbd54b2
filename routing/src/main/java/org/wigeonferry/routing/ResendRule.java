package org.wigeonferry.routing;

import java.time.Duration;

/**
 * Whether a job whose upstream is silent may be sent to another one: it may run again, the upstream
 * is probably not just busy, and the retry budget and an upstream allow it.
 *
 * <p>Owned by the control thread.
 */
final class ResendRule {
    private final UpstreamDirectory upstreams;

    ResendRule(UpstreamDirectory upstreams) {
        this.upstreams = upstreams;
    }

    /**
     * Decides on a resend.
     *
     * @param silence time since the last progress of the answer, or since the start of the send
     * @param rule what another upstream has to meet
     */
    boolean allows(
            Job job,
            Send send,
            ServiceState service,
            boolean answerBegun,
            Duration silence,
            UpstreamRule rule,
            long nowNanos) {
        boolean mayRunAgain =
                job.route().kind().isRepeatable() && job.possibleRuns() < job.route().maxRuns();
        return mayRunAgain
                && isGivenUp(job, send, service, answerBegun, silence, nowNanos)
                && upstreams.upstreamStates().stream()
                        .anyMatch(s -> !s.isSuspended(nowNanos) && rule.allows(s, job, nowNanos));
    }

    private boolean isGivenUp(
            Job job,
            Send send,
            ServiceState service,
            boolean answerBegun,
            Duration silence,
            long nowNanos) {
        return upstreams
                .state(send.upstream().incarnation())
                .map(
                        state ->
                                answerBegun
                                        ? SilenceRule.isStalled(
                                                state, job.route(), silence, nowNanos)
                                        : service.isLost(state, send, silence))
                .orElse(true);
    }
}
