package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Optional;
import java.util.function.DoubleSupplier;

/**
 * Checks requests against the configuration, if that is recent enough.
 *
 * <p>Owned by the control thread.
 */
final class RequestAdmission {
    private final Freshness freshness;
    private final DoubleSupplier randomSamples;

    /**
     * Creates the checks.
     *
     * @param randomSamples samples uniformly distributed in [0, 1), with which services are picked
     */
    RequestAdmission(Freshness freshness, DoubleSupplier randomSamples) {
        this.freshness = freshness;
        this.randomSamples = randomSamples;
    }

    /** Checks configuration, route and key of a request. */
    AdmissionResult admit(
            Optional<RoutingConfig> config, RoutedRequest request, long nowNanos, long wallMillis) {
        if (config.isEmpty()) {
            return new Refused(RefusalCause.NO_CONFIGURATION);
        }
        RoutingConfig current = config.get();
        boolean upToDate = freshness.isUpToDate(nowNanos, wallMillis);
        Optional<Route> route = current.route(request.host(), request.path());
        if (route.isEmpty()) {
            return refusalOrStale(RefusalCause.UNKNOWN_ROUTE, upToDate);
        }
        boolean needsKey = current.requiresKeys() && !route.get().keyless();
        if (needsKey && !upToDate) {
            return new Refused(RefusalCause.STALE_CONFIGURATION);
        }
        Optional<Account> account =
                needsKey ? request.key().flatMap(current::account) : Optional.empty();
        if (needsKey && account.isEmpty()) {
            return refusalOrStale(RefusalCause.UNKNOWN_KEY, upToDate);
        }
        return new Admitted(newJob(current, request, route.get(), account, nowNanos));
    }

    /** Whether a job needs no key, or its key is in force in a recent configuration. */
    boolean isKeyStillValid(
            Optional<RoutingConfig> config, Job job, long nowNanos, long wallMillis) {
        if (job.account().isEmpty()) {
            return true;
        }
        return freshness.isUpToDate(nowNanos, wallMillis)
                && job.request().key().flatMap(k -> config.flatMap(c -> c.account(k))).isPresent();
    }

    /** Whether the configuration has a route for a job's host and path. */
    static boolean isRouteInForce(Optional<RoutingConfig> config, Job job) {
        RoutedRequest request = job.request();
        return config.flatMap(c -> c.route(request.host(), request.path())).isPresent();
    }

    private static Refused refusalOrStale(RefusalCause cause, boolean upToDate) {
        return new Refused(upToDate ? cause : RefusalCause.STALE_CONFIGURATION);
    }

    private Job newJob(
            RoutingConfig config,
            RoutedRequest request,
            Route route,
            Optional<Account> account,
            long nowNanos) {
        Duration requested = request.callerTimeout().orElse(route.timeout());
        Duration timeout = requested.compareTo(route.timeout()) < 0 ? requested : route.timeout();
        String service = route.pickService(randomSamples.getAsDouble());
        long deadlineNanos = nowNanos + timeout.toNanos();
        return new Job(
                request, route, account, service, nowNanos, deadlineNanos, config.revision());
    }
}
