package org.wigeonferry.router;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.wigeonferry.routing.SendOutcome;

/**
 * The sends of a {@link RoutedCall} that have not ended, and what they have brought so far.
 *
 * <p>Invariants: at most one send is open; a send that is not open changes nothing; no send is
 * opened once the call has ended. Calls no method of Jetty. Thread safe.
 */
final class CallSends {
    private final List<RoutedSend> openSends = new ArrayList<>();
    private boolean finished;
    private boolean streaming;
    private Optional<String> lastEventId;
    private Optional<CompleteResponse> lastServerError = Optional.empty();

    /** Starts without sends; a caller that resumes a stream names the last event that it has. */
    CallSends(Optional<String> lastEventId) {
        this.lastEventId = lastEventId;
    }

    /** Whether the call has ended. */
    synchronized boolean isFinished() {
        return finished;
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
     * Buffers events for the caller; ignored, with result false, unless the send is open.
     *
     * @param lastId id of the last event, if it has one
     * @param startStream called before the first events of the call
     */
    synchronized boolean tryBufferEvents(
            RoutedSend routedSend,
            Optional<String> lastId,
            ByteBuffer events,
            CallerResponse callerResponse,
            Runnable startStream) {
        if (!openSends.contains(routedSend)) {
            return false;
        }
        if (!streaming) {
            streaming = true;
            startStream.run();
        }
        lastEventId = lastId.or(() -> lastEventId);
        callerResponse.bufferEvents(events);
        return true;
    }

    /** Removes a send that has ended; ends the call if the send answers it. */
    synchronized NextStep onEnded(
            RoutedSend routedSend, SendOutcome outcome, Optional<CompleteResponse> response) {
        if (!openSends.remove(routedSend)) {
            return NextStep.NONE;
        }
        // After the first events only the rest of the stream answers the request.
        boolean restOfStream = response.isEmpty();
        if (outcome == SendOutcome.ANSWERED && (restOfStream || !streaming)) {
            finished = true;
            return NextStep.RESPOND;
        }
        lastServerError = response.or(() -> lastServerError);
        return NextStep.RESEND;
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
