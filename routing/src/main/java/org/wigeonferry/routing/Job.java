package org.wigeonferry.routing;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request while it is being served.
 *
 * <p>Invariant: {@link #runs} counts the sends that may have run. Changed on the control thread
 * only; the final fields and {@link #runs} may be read anywhere.
 */
public final class Job {
    private final RoutedRequest request;
    private final Route route;
    private final Optional<Account> account;
    private final String service;
    private final long deadlineNanos;
    private final long revision;
    private final Set<Incarnation> tried = new HashSet<>();
    private boolean doubted;
    private final AtomicInteger runs = new AtomicInteger();
    private int sends;

    Job(
            RoutedRequest request,
            Route route,
            Optional<Account> account,
            String service,
            long deadlineNanos,
            long revision) {
        this.request = request;
        this.route = route;
        this.account = account;
        this.service = service;
        this.deadlineNanos = deadlineNanos;
        this.revision = revision;
    }

    /** The request. */
    public RoutedRequest request() {
        return request;
    }

    /** Its route. */
    public Route route() {
        return route;
    }

    /** The caller's account. */
    public Optional<Account> account() {
        return account;
    }

    /** The service that the route's weights picked. */
    public String service() {
        return service;
    }

    /** When the caller's and the route's time is over. */
    public long deadlineNanos() {
        return deadlineNanos;
    }

    /** Revision of the configuration that admitted it. */
    public long revision() {
        return revision;
    }

    /** Sends that may have run. */
    public int runs() {
        return runs.get();
    }

    /** Whether a small model's answer was dropped. */
    boolean doubted() {
        return doubted;
    }

    /** Notes a dropped answer; its upstream may run the request with another model. */
    void onDoubt(Incarnation incarnation) {
        doubted = true;
        tried.remove(incarnation);
    }

    boolean sentBefore() {
        return sends > 0;
    }

    boolean tried(Incarnation incarnation) {
        return tried.contains(incarnation);
    }

    void onSend(Incarnation incarnation) {
        tried.add(incarnation);
        sends++;
        runs.incrementAndGet();
    }

    void onProvedNotRun() {
        runs.decrementAndGet();
    }

    /** Names the session: the caller's, or the last part of the prompt. */
    Optional<String> session() {
        if (request.session().isPresent()) {
            return request.session();
        }
        if (request.parts().isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(request.parts().get(request.parts().size() - 1).id());
    }
}
