package org.wigeonferry.router;

import org.wigeonferry.routing.Incarnation;
import org.wigeonferry.routing.Job;
import org.wigeonferry.routing.Send;
import org.wigeonferry.routing.SendReport;
import org.wigeonferry.routing.UpstreamAnnouncement;

/**
 * Records in the routing state what the sends of a call came to.
 *
 * <p>Hands the work to the control thread. Thread safe.
 */
final class SendRecorder {
    private final CallContext context;
    private final Job job;
    private final String requestDigest;
    private final CallLog log;

    SendRecorder(CallContext context, Job job, String requestDigest, CallLog log) {
        this.context = context;
        this.job = job;
        this.requestDigest = requestDigest;
        this.log = log;
    }

    /**
     * Records what an upstream says of itself, before anything else is placed; also that it says
     * nothing, which ends a limit that it named before.
     */
    void recordAnnouncement(Send send, UpstreamAnnouncement announcement) {
        context.control().execute(() -> applyAnnouncement(send, announcement));
    }

    /** Records the end of a send, then runs a task on the control thread. */
    void recordEnd(SendReport report, Runnable next) {
        context.control()
                .execute(
                        () -> {
                            applyEnd(report);
                            next.run();
                        });
    }

    private void applyAnnouncement(Send send, UpstreamAnnouncement announcement) {
        Incarnation upstream = send.upstream().incarnation();
        long now = context.control().nanoTime();
        if (context.state().upstreams().notices().record(upstream, announcement, now)) {
            log.logAnnouncement(send, announcement);
        }
    }

    private void applyEnd(SendReport report) {
        long now = context.control().nanoTime();
        if (context.state().onSendEnd(job, requestDigest, report, now)) {
            log.logPoisonDetected();
        }
    }
}
