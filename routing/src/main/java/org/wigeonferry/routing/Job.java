package org.wigeonferry.routing;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client request from its admission to its end.
 *
 * <p>Invariant: {@link #possibleRuns} counts the sends after which an upstream may have run the
 * request. Changed on the control thread only; the final fields, {@link #possibleRuns} and {@link
 * #wasLostOnReuse} may be read on any thread.
 */
public final class Job {
    private final RoutedRequest request;
    private final Route route;
    private final Optional<Account> account;
    private final String service;
    private final long admittedNanos;
    private final long deadlineNanos;
    private final long revision;
    private final Set<Incarnation> sentTo = new HashSet<>();
    private boolean lowConfidenceAnswerDropped;
    private final AtomicInteger possibleRuns = new AtomicInteger();
    private volatile boolean lostOnReuse;
    private int sends;
    private int bodyBytes;
    private Optional<Send> firstSend = Optional.empty();

    Job(
            RoutedRequest request,
            Route route,
            Optional<Account> account,
            String service,
            long admittedNanos,
            long deadlineNanos,
            long revision) {
        this.request = request;
        this.route = route;
        this.account = account;
        this.service = service;
        this.admittedNanos = admittedNanos;
        this.deadlineNanos = deadlineNanos;
        this.revision = revision;
    }

    public RoutedRequest request() {
        return request;
    }

    public Route route() {
        return route;
    }

    /** The client account; empty if requests need no key. */
    public Optional<Account> account() {
        return account;
    }

    /** The service that was picked by the weights of the route. */
    public String service() {
        return service;
    }

    /** The earlier of the caller's and the route's deadline, by {@link System#nanoTime}. */
    public long deadlineNanos() {
        return deadlineNanos;
    }

    /** Time since the request was admitted. */
    Duration elapsed(long nowNanos) {
        return Duration.ofNanos(nowNanos - admittedNanos);
    }

    /** Revision of the configuration with which the request was admitted. */
    public long revision() {
        return revision;
    }

    /** Number of sends whose upstream may have run the request. */
    public int possibleRuns() {
        return possibleRuns.get();
    }

    /** Whether a send was lost on a connection that had served other requests. */
    public boolean wasLostOnReuse() {
        return lostOnReuse;
    }

    /** Whether another send is allowed: no upstream may have run it, or it may run again. */
    public boolean mayRunAgain() {
        if (possibleRuns() == 0) {
            return true;
        }
        return route.kind().isRepeatable() && possibleRuns() < route.maxRuns();
    }

    /** Whether an answer of a small model was dropped for its low confidence. */
    boolean lowConfidenceAnswerDropped() {
        return lowConfidenceAnswerDropped;
    }

    /**
     * Records how a send ended. Another send to the same upstream is allowed after an answer
     * dropped for low confidence, as it may also run another model, and after a loss that says
     * nothing about the upstream.
     */
    void onSendEnd(Incarnation upstream, SendOutcome outcome) {
        if (outcome.provedNotRun()) {
            possibleRuns.decrementAndGet();
        }
        if (outcome == SendOutcome.DOUBTED) {
            lowConfidenceAnswerDropped = true;
            sentTo.remove(upstream);
        }
        if (outcome == SendOutcome.LOST_ON_REUSE) {
            lostOnReuse = true;
            sentTo.remove(upstream);
        }
    }

    /** Records the length of the body, which the router keeps until the job has ended. */
    public void recordBodyBytes(int bytes) {
        bodyBytes = bytes;
    }

    int bodyBytes() {
        return bodyBytes;
    }

    boolean wasSentBefore() {
        return sends > 0;
    }

    /** The kind of request, if a send was the first of its sends. */
    Optional<RequestKind> firstAttemptOf(Send send) {
        return firstSend.filter(send::equals).map(first -> route.kind());
    }

    /** Whether a send was the first one, and none has been made since. */
    boolean isFirstAndOnly(Send send) {
        return sends == 1 && firstSend.filter(send::equals).isPresent();
    }

    boolean wasSentTo(Incarnation incarnation) {
        return sentTo.contains(incarnation);
    }

    void onSend(Send send) {
        sentTo.add(send.upstream().incarnation());
        firstSend = firstSend.or(() -> Optional.of(send));
        sends++;
        possibleRuns.incrementAndGet();
    }

    /** The caller's session id, or else the id of the last prompt part, if there is one. */
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
