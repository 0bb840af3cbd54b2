package org.wigeonferry.router;

import java.util.function.BiConsumer;
import org.wigeonferry.routing.HedgePlan;
import org.wigeonferry.routing.Job;
import org.wigeonferry.routing.Send;
import org.wigeonferry.routing.hedging.HedgeLater;
import org.wigeonferry.routing.hedging.NoHedge;
import org.wigeonferry.routing.hedging.NoHedgeCause;

/**
 * Asks routing whether the first send of a call is hedged, when that is due, and starts the second
 * send.
 *
 * <p>Invariant: a call has at most one hedged send. Owned by the control thread.
 */
final class HedgedSendPlanner {
    private final CallContext context;
    private final Job job;
    private final String requestDigest;
    private final CallSends sends;
    private final CallLog log;
    private final BiConsumer<RoutedSend, Send> startHedge;

    /**
     * Creates the planner of a call.
     *
     * @param startHedge starts a hedged send beside an open one; called on the control thread
     */
    HedgedSendPlanner(
            CallContext context,
            Job job,
            String requestDigest,
            CallSends sends,
            CallLog log,
            BiConsumer<RoutedSend, Send> startHedge) {
        this.context = context;
        this.job = job;
        this.requestDigest = requestDigest;
        this.sends = sends;
        this.log = log;
        this.startHedge = startHedge;
    }

    /** Decides on a hedged send beside an open one; decides again later where that is too early. */
    void consider(RoutedSend routedSend) {
        if (!sends.isOpen(routedSend) || routedSend.responseHead().isPresent()) {
            return;
        }
        HedgePlan plan =
                context.state()
                        .planHedgedSend(
                                job,
                                routedSend.send(),
                                requestDigest,
                                context.control().nanoTime(),
                                System.currentTimeMillis());
        if (plan.decision() instanceof HedgeLater later) {
            context.control().schedule(later.delay(), () -> consider(routedSend));
        } else if (plan.decision() instanceof NoHedge none) {
            logRefused(none.cause());
        }
        plan.send().ifPresent(send -> startHedge.accept(routedSend, send));
    }

    private void logRefused(NoHedgeCause cause) {
        if (cause != NoHedgeCause.DISABLED) {
            log.logHedgeRefused(cause);
        }
    }
}
