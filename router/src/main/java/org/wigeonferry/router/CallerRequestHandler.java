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
import org.wigeonferry.routing.AdmissionResult;
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
final class CallerRequestHandler extends Handler.Abstract.NonBlocking {
    private static final Logger LOG = LoggerFactory.getLogger("call");

    /** Time after a stop signal in which requests are still taken. */
    private static final Duration LAST_ADMISSION = Duration.ofMillis(2700);

    private final CallContext context;
    private volatile boolean stopping;
    private volatile boolean closed;

    CallerRequestHandler(CallContext context) {
        this.context = context;
    }

    /** From now on each answer closes its connection; later requests may have no time to end. */
    void onStopping() {
        stopping = true;
        context.control().after(LAST_ADMISSION, () -> closed = true);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        CallerResponse reply = new CallerResponse(response, callback);
        Optional<RoutedRequest> decoded = context.protocol().requestDecoder().decode(request);
        if (decoded.isEmpty()) {
            refuse(reply, "", RefusalCause.MALFORMED, ConfigurationVersion.NOT_CONSULTED);
            return true;
        }
        if (stopping) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
        if (closed) {
            refuse(
                    reply,
                    decoded.get().id(),
                    RefusalCause.STOPPING,
                    ConfigurationVersion.NOT_CONSULTED);
            return true;
        }
        context.inFlight().incrementAndGet();
        context.control().run(() -> admit(request, decoded.get(), reply));
        return true;
    }

    private void admit(Request request, RoutedRequest routed, CallerResponse reply) {
        long now = context.control().nanoTime();
        AdmissionResult admission = context.state().admit(routed, now, System.currentTimeMillis());
        ConfigurationVersion seen = ConfigurationVersion.current(context.state(), now);
        if (admission instanceof Refused refused) {
            context.trafficExecutor()
                    .execute(() -> refuseInFlight(reply, routed.id(), refused.cause(), seen));
        } else if (admission instanceof Admitted admitted) {
            int limit = context.state().config().map(RoutingConfig::maxBodyBytes).orElse(0);
            context.trafficExecutor()
                    .execute(() -> readBody(request, admitted.job(), limit, seen, reply));
        }
    }

    private void readBody(
            Request request, Job job, int limit, ConfigurationVersion seen, CallerResponse reply) {
        if (request.getLength() > limit) {
            refuseInFlight(reply, job.request().id(), RefusalCause.BODY_TOO_LONG, seen);
            return;
        }
        Bodies.read(request, limit)
                .whenComplete(
                        (body, failure) -> {
                            if (failure != null) {
                                context.inFlight().decrementAndGet();
                                reply.abort(failure);
                                return;
                            }
                            String account = job.account().map(Account::name).orElse("");
                            CallerRequest caller = new CallerRequest(request, body, account);
                            RoutedCall call = new RoutedCall(context, job, caller, reply);
                            context.control().run(call::start);
                        });
    }

    private void refuseInFlight(
            CallerResponse reply, String id, RefusalCause cause, ConfigurationVersion seen) {
        context.inFlight().decrementAndGet();
        refuse(reply, id, cause, seen);
    }

    private void refuse(
            CallerResponse reply, String id, RefusalCause cause, ConfigurationVersion seen) {
        LOG.atWarn()
                .addKeyValue("request", id)
                .addKeyValue("cause", cause.name().toLowerCase(Locale.ROOT))
                .addKeyValue("revision", seen.revision())
                .addKeyValue("age_ms", seen.age().toMillis())
                .log("refused");
        context.metrics().count("refused_" + cause.name().toLowerCase(Locale.ROOT));
        context.refusals().sendRefusal(reply, cause);
    }
}
