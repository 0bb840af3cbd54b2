package org.wigeonferry.router;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpURI;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.node_runtime.RequestBodies;
import org.wigeonferry.node_runtime.ingress.NoRoomException;
import org.wigeonferry.routing.Account;
import org.wigeonferry.routing.AdmissionResult;
import org.wigeonferry.routing.Admitted;
import org.wigeonferry.routing.Job;
import org.wigeonferry.routing.RefusalCause;
import org.wigeonferry.routing.Refused;
import org.wigeonferry.routing.RoutedRequest;
import org.wigeonferry.routing.RoutingConfig;

/**
 * Handles callers' requests: decodes the head, admits or refuses the request on the control thread,
 * reads the body completely and starts a {@link RoutedCall}.
 *
 * <p>Thread safe.
 */
final class CallerRequestHandler extends Handler.Abstract.NonBlocking {
    private static final Logger LOG = LoggerFactory.getLogger("call");

    /**
     * Time after a stop signal in which new requests are still accepted. Shorter than the shortest
     * drain time of {@link RouterServer}.
     */
    private static final Duration ADMISSION_TIME_AFTER_STOP = Duration.ofMillis(2700);

    /** Parts of a target that can't go on byte for byte: no URI has them (RFC 3986). */
    private static final Pattern NOT_FORWARDABLE = Pattern.compile("[^!-~]|#|%(?!\\p{XDigit}{2})");

    private final CallContext context;
    private volatile boolean stopping;
    private volatile boolean refusing;

    CallerRequestHandler(CallContext context) {
        this.context = context;
    }

    /**
     * From now on each response closes its connection. Requests that come later than {@link
     * #ADMISSION_TIME_AFTER_STOP} are refused, since they may not be able to finish before the
     * process ends.
     */
    void onStopping() {
        stopping = true;
        context.control().schedule(ADMISSION_TIME_AFTER_STOP, () -> refusing = true);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        CallerResponse callerResponse =
                new CallerResponse(
                        response,
                        context.inFlight().track(callback),
                        new BufferReservation(context.responseBudget()));
        Optional<RoutedRequest> decoded = context.protocol().requestDecoder().decode(request);
        if (decoded.isEmpty() || !isForwardable(request.getHttpURI())) {
            refuse(callerResponse, "", RefusalCause.MALFORMED, ConfigurationVersion.NOT_CONSULTED);
            return true;
        }
        if (stopping) {
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
        }
        if (refusing) {
            refuse(
                    callerResponse,
                    decoded.get().id(),
                    RefusalCause.STOPPING,
                    ConfigurationVersion.NOT_CONSULTED);
            return true;
        }
        context.control().execute(() -> admit(request, decoded.get(), callerResponse));
        return true;
    }

    private static boolean isForwardable(HttpURI uri) {
        return !NOT_FORWARDABLE.matcher(uri.asString()).find();
    }

    private void admit(Request request, RoutedRequest routed, CallerResponse callerResponse) {
        long now = context.control().nanoTime();
        AdmissionResult admission = context.state().admit(routed, now, System.currentTimeMillis());
        ConfigurationVersion configuration = ConfigurationVersion.current(context.state(), now);
        if (admission instanceof Refused refused) {
            context.trafficExecutor()
                    .execute(
                            () ->
                                    refuse(
                                            callerResponse,
                                            routed.id(),
                                            refused.cause(),
                                            configuration));
        } else if (admission instanceof Admitted admitted) {
            int limit = context.state().config().map(RoutingConfig::maxBodyBytes).orElse(0);
            context.trafficExecutor()
                    .execute(
                            () ->
                                    readBody(
                                            request,
                                            admitted.job(),
                                            limit,
                                            configuration,
                                            callerResponse));
        }
    }

    private void readBody(
            Request request,
            Job job,
            int limit,
            ConfigurationVersion configuration,
            CallerResponse callerResponse) {
        if (request.getLength() > limit) {
            refuse(callerResponse, job.request().id(), RefusalCause.BODY_TOO_LONG, configuration);
            return;
        }
        RequestBodies.read(request, limit)
                .whenComplete(
                        (body, failure) -> {
                            if (failure instanceof NoRoomException) {
                                refuse(
                                        callerResponse,
                                        job.request().id(),
                                        RefusalCause.OVERLOADED,
                                        configuration);
                                return;
                            }
                            if (failure != null) {
                                callerResponse.abort(failure);
                                return;
                            }
                            // A body may take long to arrive.
                            if (refusing) {
                                refuse(
                                        callerResponse,
                                        job.request().id(),
                                        RefusalCause.STOPPING,
                                        configuration);
                                return;
                            }
                            String account = job.account().map(Account::name).orElse("");
                            CallerRequest caller = new CallerRequest(request, body, account);
                            RoutedCall call = new RoutedCall(context, job, caller, callerResponse);
                            context.control().execute(call::start);
                        });
    }

    private void refuse(
            CallerResponse callerResponse,
            String id,
            RefusalCause cause,
            ConfigurationVersion configuration) {
        LOG.atWarn()
                .addKeyValue("request", id)
                .addKeyValue("cause", cause.name().toLowerCase(Locale.ROOT))
                .addKeyValue("revision", configuration.revision())
                .addKeyValue("age_ms", configuration.age().toMillis())
                .log("refused");
        context.metrics().count("refused_" + cause.name().toLowerCase(Locale.ROOT));
        context.refusals().sendRefusal(callerResponse, new Refused(cause));
    }
}
