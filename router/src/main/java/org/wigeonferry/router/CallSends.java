package org.wigeonferry.router;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.wigeonferry.routing.SendOutcome;

/**
 * The sends of a {@link RoutedCall} that have not ended, and what they have brought so far.
 *
 * <p>Invariants: at most two sends are open, the second one hedged; from the first event, the
 * complete answer or the dropped answer of one of them on, the other is not open; a send that is
 * not open changes nothing; no send is opened once the call has ended. Calls no method of Jetty.
 * Thread safe.
 */
final class CallSends {
    private final List<RoutedSend> openSends = new ArrayList<>();
    private Optional<RoutedSend> claimant = Optional.empty();
    private Optional<RoutedSend> hedge = Optional.empty();
    private boolean finished;
    private boolean streaming;
    private Optional<String> lastEventId;
    private Optional<CompleteResponse> lastServerError = Optional.empty();

    /** Starts without sends; a caller that resumes a stream names the last event that it has. */
    CallSends(Optional<String> lastEventId) {
        this.lastEventId = lastEventId;
    }

    /** Whether the call has not ended and no send may still answer it. */
    synchronized boolean needsSend() {
        return !finished && openSends.isEmpty();
    }

    synchronized boolean isOpen(RoutedSend routedSend) {
        return openSends.contains(routedSend);
    }

    /** Whether events have been sent to the caller. */
    synchronized boolean isStreaming() {
        return streaming;
    }

    /** The event after which an upstream continues the stream; empty before the first one. */
    synchronized Optional<String> lastEventIdIfStreaming() {
        return streaming ? lastEventId : Optional.empty();
    }

    /** Adds a send; ignored, with result false, if the call has ended. */
    synchronized boolean tryOpen(RoutedSend routedSend) {
        if (finished) {
            return false;
        }
        openSends.add(routedSend);
        return true;
    }

    /**
     * Adds a hedged send; ignored, with result false, if the call has ended or the response of
     * another send counts already.
     */
    synchronized boolean tryOpenHedge(RoutedSend routedSend) {
        if (claimant.isPresent() || !tryOpen(routedSend)) {
            return false;
        }
        hedge = Optional.of(routedSend);
        return true;
    }

    /**
     * Makes the response of a send the one that counts; empty unless the send is open. The caller
     * has to cancel the other sends.
     */
    synchronized Optional<Claim> tryClaim(RoutedSend routedSend) {
        if (!openSends.contains(routedSend)) {
            return Optional.empty();
        }
        if (claimant.filter(routedSend::equals).isPresent()) {
            return Optional.of(Claim.REPEATED);
        }
        claimant = Optional.of(routedSend);
        List<RoutedSend> others = openSends.stream().filter(s -> s != routedSend).toList();
        openSends.removeAll(others);
        return Optional.of(new Claim(others, hedge.equals(claimant)));
    }

    /**
     * Buffers events for the caller and makes the stream the one that counts; ignored, with an
     * empty result, unless the send is open.
     *
     * @param lastId id of the last event, if it has one
     * @param startStream called before the first events of the call
     */
    synchronized Optional<Claim> tryBufferEvents(
            RoutedSend routedSend,
            Optional<String> lastId,
            ByteBuffer events,
            CallerResponse callerResponse,
            Runnable startStream) {
        Optional<Claim> claim = tryClaim(routedSend);
        if (claim.isEmpty()) {
            return claim;
        }
        if (!streaming) {
            streaming = true;
            startStream.run();
        }
        lastEventId = lastId.or(() -> lastEventId);
        callerResponse.bufferEvents(events);
        return claim;
    }

    /** Removes a send that has ended; ends the call if the send answers it. */
    synchronized NextStep onEnded(
            RoutedSend routedSend, SendOutcome outcome, Optional<CompleteResponse> response) {
        if (!openSends.remove(routedSend)) {
            return NextStep.NONE;
        }
        claimant = Optional.empty();
        // After the first events only the rest of the stream answers the request.
        boolean endsStream = response.isEmpty();
        if (outcome == SendOutcome.ANSWERED && (endsStream || !streaming)) {
            finished = true;
            return NextStep.RESPOND;
        }
        lastServerError = response.or(() -> lastServerError);
        return openSends.isEmpty() ? NextStep.RESEND : NextStep.NONE;
    }

    /** Ends the call; empty if it has ended before. */
    synchronized Optional<CallEnd> finish() {
        if (finished) {
            return Optional.empty();
        }
        finished = true;
        CallEnd end = new CallEnd(openSends, streaming, lastServerError);
        openSends.clear();
        return Optional.of(end);
    }
}
