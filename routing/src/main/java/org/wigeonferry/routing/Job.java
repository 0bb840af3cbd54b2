package org.wigeonferry.routing;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request while it is being served.
 *
 * <p>Invariant: {@link #possibleRuns} counts the sends that may have run. Changed on the control
 * thread only; the final fields and {@link #possibleRuns} may be read anywhere.
 */
public final class Job {
    private final RoutedRequest request;
    private final Route route;
    private final Optional<Account> account;
    private final String service;
    private final long deadlineNanos;
    private final long revision;
    private final Set<Incarnation> tried = new HashSet<>();
    private boolean lowConfidenceAnswerDropped;
    private final AtomicInteger possibleRuns = new AtomicInteger();
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
    public int possibleRuns() {
        return possibleRuns.get();
    }

    /** Whether a small model's answer was dropped. */
    boolean lowConfidenceAnswerDropped() {
        return lowConfidenceAnswerDropped;
    }

    /** Notes a dropped answer; its upstream may run the request with another model. */
    void onLowConfidenceAnswer(Incarnation incarnation) {
        lowConfidenceAnswerDropped = true;
        tried.remove(incarnation);
    }

    boolean sentBefore() {
        return sends > 0;
    }

    boolean wasSentTo(Incarnation incarnation) {
        return tried.contains(incarnation);
    }

    void onSend(Incarnation incarnation) {
        tried.add(incarnation);
        sends++;
        possibleRuns.incrementAndGet();
    }

    void onNotRun() {
        possibleRuns.decrementAndGet();
    }

    /** Names the session: the caller's, or the last part of the prompt. */
    Optional<String> sessionId() {
        if (request.sessionId().isPresent()) {
            return request.sessionId();
        }
        if (request.parts().isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(request.parts().get(request.parts().size() - 1).id());
    }
}
