package org.wigeonferry.router;

import java.io.IOException;
import java.util.Optional;
import org.wigeonferry.routing.RefusalCause;
import org.wigeonferry.routing.Refused;

/**
 * Ends the response to a caller in one of the possible ways, and logs which.
 *
 * <p>Thread safe; the call ensures that one method is called once.
 */
final class FinalResponse {
    private final CallerResponse callerResponse;
    private final Refusals refusals;
    private final CallLog log;

    FinalResponse(CallerResponse callerResponse, Refusals refusals, CallLog log) {
        this.callerResponse = callerResponse;
        this.refusals = refusals;
        this.log = log;
    }

    /** Sends a complete response, or ends the stream as complete if there is none. */
    void send(Optional<CompleteResponse> response) {
        if (response.isPresent()) {
            CompleteResponse complete = response.get();
            log.logAnswered(complete.head().status());
            callerResponse.sendComplete(
                    complete.head().status(), complete.head().forwardedFields(), complete.body());
            return;
        }
        log.logStreamAnswered(callerResponse.streamFraming());
        callerResponse.endStream();
    }

    /** Refuses the request, or aborts its stream if that has begun. */
    void refuse(Refused refused, boolean streaming) {
        RefusalCause cause = refused.cause();
        if (streaming) {
            log.logStreamAborted(cause, callerResponse.streamFraming());
            callerResponse.abort(new IOException("stream aborted: " + cause));
            return;
        }
        log.logRefused(cause);
        refusals.sendRefusal(callerResponse, refused);
    }

    /** Closes the response to a caller that has disconnected. */
    void abandon() {
        log.logCallerDisconnected();
        callerResponse.abort(new IOException("caller disconnected"));
    }
}
