package org.wigeonferry.routing;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Records what the sends of this router come to, in all state that learns from them.
 *
 * <p>Owned by the control thread.
 */
final class SendEvents {
    private final UpstreamDirectory upstreams;
    private final RollOutTracker rollOuts;
    private final PoisonRegister poisonRegister;
    private final LoadAdmission loadAdmission;
    private final Function<String, ServiceState> services;
    private final ReceivedLoads receivedLoads = new ReceivedLoads();

    SendEvents(
            UpstreamDirectory upstreams,
            RollOutTracker rollOuts,
            PoisonRegister poisonRegister,
            LoadAdmission loadAdmission,
            Function<String, ServiceState> services) {
        this.upstreams = upstreams;
        this.rollOuts = rollOuts;
        this.poisonRegister = poisonRegister;
        this.loadAdmission = loadAdmission;
        this.services = services;
    }

    /** The loads that upstreams reported and that the zone's other routers are to be told. */
    ReceivedLoads receivedLoads() {
        return receivedLoads;
    }

    /** Records that a job is sent to an upstream. */
    void onSend(Send send, Job job, long nowNanos) {
        stateOf(send).ifPresent(state -> state.onSend(send, job.request(), nowNanos));
        rollOuts.onSend(send, job, nowNanos);
        loadAdmission.onSend(job, send, nowNanos);
    }

    /** Records that response headers arrived, which shows that the prompt was processed. */
    void onResponseHeaders(Send send, Optional<ReportedLoad> load, long nowNanos) {
        serviceOf(send).onHeaders(send, nowNanos);
        stateOf(send)
                .ifPresent(
                        state -> {
                            load.ifPresent(l -> receivedLoads.record(state, l, nowNanos));
                            state.onHeaders(send, load, nowNanos);
                        });
    }

    /** Records the mean gap so far between the events of a running stream, and the last event. */
    void onStreamProgress(Send send, Duration gap, long lastEventNanos) {
        stateOf(send).ifPresent(state -> state.onStreamProgress(send, lastEventNanos));
        rollOuts.onStreamProgress(send, gap, upstreams.runningRequests(send.upstream()));
    }

    /** Records the end of a send; true if requests like it are refused from now on. */
    boolean onSendEnd(Job job, String requestDigest, SendReport report, long nowNanos) {
        Send send = report.send();
        stateOf(send).ifPresent(state -> state.onSendEnd(report, nowNanos));
        serviceOf(send).onSendEnd(report, nowNanos);
        job.onSendEnd(send.upstream().incarnation(), report.outcome());
        if (report.outcome() == SendOutcome.MISDIRECTED) {
            upstreams.remove(send.upstream().id(), nowNanos);
        }
        rollOuts.onSendEnd(report, job, upstreams.runningRequests(send.upstream()), nowNanos);
        List<PromptPart> parts = job.request().parts();
        boolean newPoison = poisonRegister.onSendEnd(requestDigest, parts, report, nowNanos);
        loadAdmission.onSendEnd(job, report, nowNanos);
        return newPoison;
    }

    private Optional<UpstreamState> stateOf(Send send) {
        return upstreams.state(send.upstream().incarnation());
    }

    private ServiceState serviceOf(Send send) {
        return services.apply(send.upstream().service());
    }
}
