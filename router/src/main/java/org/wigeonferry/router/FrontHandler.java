package org.wigeonferry.router;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.node_runtime.Bodies;
import org.wigeonferry.routing.Account;
import org.wigeonferry.routing.Admission;
import org.wigeonferry.routing.Admitted;
import org.wigeonferry.routing.Job;
import org.wigeonferry.routing.RefusalCause;
import org.wigeonferry.routing.Refused;
import org.wigeonferry.routing.RoutedRequest;
import org.wigeonferry.routing.RoutingConfig;

/**
 * Takes callers' requests: reads them whole, has them admitted and starts their calls.
 *
 * <p>Thread safe.
 */
final class FrontHandler extends Handler.Abstract.NonBlocking {
    private static final Logger LOG = LoggerFactory.getLogger("call");

    /** Time after a stop signal in which requests are still taken. */
    private static final Duration LAST_ADMISSION = Duration.ofMillis(2700);

    private static final long NO_REVISION = -1;

    private final CallContext context;
    private volatile boolean stopping;
    private volatile boolean closed;

    FrontHandler(CallContext context) {
        this.context = context;
    }

    /** From now on each answer closes its connection; later requests may have no time to end. */
    void onStopping() {
        stopping = true;
        context.control().after(LAST_ADMISSION, () -> closed = true);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        CallerReply reply = new CallerReply(response, callback);
        Optional<RoutedRequest> decoded = context.protocol().requests().decode(request);
        if (decoded.isEmpty()) {
            refuse(reply, "", RefusalCause.MALFORMED, NO_REVISION);
            return true;
        }
        if (stopping) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
        if (closed) {
            refuse(reply, decoded.get().id(), RefusalCause.STOPPING, NO_REVISION);
            return true;
        }
        context.inFlight().incrementAndGet();
        context.control().run(() -> admit(request, decoded.get(), reply));
        return true;
    }

    private void admit(Request request, RoutedRequest routed, CallerReply reply) {
        Admission admission =
                context.state()
                        .admit(routed, context.control().nanoTime(), System.currentTimeMillis());
        if (admission instanceof Refused refused) {
            long revision =
                    context.state().config().map(RoutingConfig::revision).orElse(NO_REVISION);
            refuseInFlight(reply, routed.id(), refused.cause(), revision);
        } else if (admission instanceof Admitted admitted) {
            int limit = context.state().config().map(RoutingConfig::maxBodyBytes).orElse(0);
            context.traffic().execute(() -> readBody(request, admitted.job(), limit, reply));
        }
    }

    private void readBody(Request request, Job job, int limit, CallerReply reply) {
        if (request.getLength() > limit) {
            refuseInFlight(reply, job.request().id(), RefusalCause.BODY_TOO_LONG, job.revision());
            return;
        }
        Bodies.read(request, limit)
                .whenComplete(
                        (body, failure) -> {
                            if (failure != null) {
                                context.inFlight().decrementAndGet();
                                reply.breakOff(failure);
                                return;
                            }
                            String account = job.account().map(Account::name).orElse("");
                            CallerRequest caller = new CallerRequest(request, body, account);
                            RoutedCall call = new RoutedCall(context, job, caller, reply);
                            context.control().run(call::start);
                        });
    }

    private void refuseInFlight(CallerReply reply, String id, RefusalCause cause, long revision) {
        context.inFlight().decrementAndGet();
        refuse(reply, id, cause, revision);
    }

    private void refuse(CallerReply reply, String id, RefusalCause cause, long revision) {
        LOG.atWarn()
                .addKeyValue("request", id)
                .addKeyValue("cause", cause.name().toLowerCase(Locale.ROOT))
                .addKeyValue("revision", revision)
                .log("refused");
        context.metrics().count("refused_" + cause.name().toLowerCase(Locale.ROOT));
        context.refusals().answer(reply, cause);
    }
}
