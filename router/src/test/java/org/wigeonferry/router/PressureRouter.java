package org.wigeonferry.router;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.wigeonferry.node_runtime.NodeMetrics;
import org.wigeonferry.routing.Admitted;
import org.wigeonferry.routing.Job;
import org.wigeonferry.routing.OwnLoad;
import org.wigeonferry.routing.PlacementResult;
import org.wigeonferry.routing.RefusalCause;
import org.wigeonferry.routing.Refused;
import org.wigeonferry.routing.ReportedLoad;
import org.wigeonferry.routing.RoutingState;
import org.wigeonferry.routing.Send;
import org.wigeonferry.routing.SendOutcome;
import org.wigeonferry.routing.SendReport;
import org.wigeonferry.routing.Waiting;
import org.wigeonferry.stand_ins.VirtualControl;

/** A router of {@link PressureFleet}, with the real state and queue, without connections. */
final class PressureRouter {
    private final String name;
    private final PressureFleet fleet;
    private final VirtualControl control;
    private final RoutingState state;
    private final WaitingCalls waitingCalls;
    private boolean alive = true;
    private boolean reportScheduled;

    PressureRouter(String name, PressureFleet fleet, VirtualControl control, RoutingState state) {
        this.name = name;
        this.fleet = fleet;
        this.control = control;
        this.state = state;
        waitingCalls = new WaitingCalls(control, state.loadAdmission(), new NodeMetrics());
        control.scheduleWithFixedDelay(Duration.ofMillis(500), this::runChecks);
        control.scheduleWithFixedDelay(
                Duration.ofMillis(200), () -> fleet.report(this, state.ownLoads()));
        state.setSendListener((job, send) -> reportSoon());
    }

    String name() {
        return name;
    }

    boolean isAlive() {
        return alive;
    }

    RoutingState state() {
        return state;
    }

    void kill() {
        alive = false;
        control.kill();
    }

    void onPeerReport(String router, long sequence, List<OwnLoad> loads) {
        state.peerLoads().apply(router, sequence, loads, control.nanoTime());
        state.loadAdmission().onRoomChange();
    }

    void call(PressureCall call) {
        confirmConfig();
        Job job = ((Admitted) state.admit(call.request(), control.nanoTime(), wallMillis())).job();
        place(call, job, control.nanoTime());
    }

    private void place(PressureCall call, Job job, long arrivalNanos) {
        confirmConfig();
        PlacementResult placement =
                state.routeJob(job, call.request().id(), control.nanoTime(), wallMillis());
        if (placement instanceof Send send) {
            fleet.engine(send.upstream().id()).send(new PressureSend(this, call, job, send));
        } else if (placement instanceof Refused refused) {
            fleet.onRefused(call, refused, control.nanoTime() - arrivalNanos);
        } else if (placement instanceof Waiting waiting) {
            waitingCalls.await(job, waiting, () -> place(call, job, arrivalNanos));
        }
    }

    void onFirstByte(PressureSend send, Optional<ReportedLoad> load) {
        if (alive) {
            state.onResponseHeaders(send.send(), load, control.nanoTime());
            fleet.onFirstByte(send.call());
        }
    }

    void onSendEnd(PressureSend send, SendOutcome outcome) {
        if (!alive) {
            return;
        }
        SendReport report =
                new SendReport(
                        send.send(),
                        outcome,
                        outcome == SendOutcome.ANSWERED,
                        Optional.empty(),
                        Optional.empty());
        state.onSendEnd(send.job(), send.call().request().id(), report, control.nanoTime());
        if (outcome == SendOutcome.ANSWERED) {
            return;
        }
        if (outcome.provedNotRun()) {
            place(send.call(), send.job(), control.nanoTime());
            return;
        }
        fleet.onRefused(send.call(), new Refused(RefusalCause.OUTCOME_UNKNOWN), 0);
    }

    private void reportSoon() {
        if (reportScheduled) {
            return;
        }
        reportScheduled = true;
        control.schedule(
                Duration.ZERO,
                () -> {
                    reportScheduled = false;
                    fleet.report(this, state.ownLoads());
                });
    }

    private void runChecks() {
        state.peerLoads().expire(control.nanoTime());
        state.loadAdmission().runChecks(fleet.liveRoutersInZoneOf(this), control.nanoTime());
    }

    private void confirmConfig() {
        state.freshness().recordConfirmation(control.nanoTime(), wallMillis());
    }

    private long wallMillis() {
        return control.nanoTime() / 1_000_000;
    }
}
