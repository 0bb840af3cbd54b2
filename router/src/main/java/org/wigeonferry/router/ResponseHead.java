package org.wigeonferry.router;

import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.wigeonferry.routing.ReportedLoad;
import org.wigeonferry.routing.SendOutcome;
import org.wigeonferry.routing.UpstreamAnnouncement;

/**
 * Status and decoded header fields of an upstream's response.
 *
 * <p>Immutable and thread safe.
 *
 * @param requestId id of the request that the response names as its own
 * @param hasUpstreamStamp whether it has the header field that only upstreams set; the value is not
 *     checked
 * @param requestNotRun whether the upstream states that it did not run the request
 * @param misdirected whether the address now belongs to another upstream than the one meant
 * @param hasContentEncoding whether the body is encoded; the router never asks for an encoding
 * @param confidence confidence that the model reported in its answer, 0 to 100
 * @param announcement what the upstream says of itself
 * @param forwardedFields the header fields that the router forwards to the caller
 */
public record ResponseHead(
        int status,
        Optional<String> requestId,
        boolean hasUpstreamStamp,
        boolean requestNotRun,
        boolean misdirected,
        boolean hasContentEncoding,
        Optional<Integer> confidence,
        Optional<ReportedLoad> load,
        UpstreamAnnouncement announcement,
        HttpFields forwardedFields) {
    private static final int MIN_FINAL_STATUS = 200;
    private static final int MIN_SERVER_ERROR_STATUS = 500;
    private static final int MAX_STATUS = 599;

    /**
     * Whether the response may be forwarded as the answer to a request: an upstream sent it with a
     * final status, its body is not encoded, and it names the request's id.
     */
    public boolean isValidResponseTo(String id) {
        return hasFinalStatus()
                && hasUpstreamStamp
                && !hasContentEncoding
                && requestId.filter(id::equals).isPresent();
    }

    /**
     * The outcome of a send with this id if the head alone decides it; empty if the body counts.
     */
    Optional<SendOutcome> outcomeWithoutBody(String id) {
        if (namesAnotherRequest(id) || !hasFinalStatus()) {
            return Optional.of(SendOutcome.BROKEN);
        }
        if (misdirected) {
            return Optional.of(SendOutcome.MISDIRECTED);
        }
        if (requestNotRun) {
            return Optional.of(SendOutcome.NOT_RUN);
        }
        return isValidResponseTo(id) ? Optional.empty() : Optional.of(SendOutcome.BROKEN);
    }

    /** Whether the upstream that the request was meant for wrote the head, and wrote it for it. */
    boolean isFromAddressedUpstream(String id) {
        return !misdirected && !namesAnotherRequest(id);
    }

    /** Whether the head is of a response to another request than the one with this id. */
    boolean namesAnotherRequest(String id) {
        return requestId.filter(named -> !named.equals(id)).isPresent();
    }

    /** Whether the status is a valid one of a final response (RFC 9110, section 15). */
    private boolean hasFinalStatus() {
        return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
    }

    /** Whether the status is 500 or above. */
    public boolean isServerError() {
        return status >= MIN_SERVER_ERROR_STATUS;
    }

    /** Whether the status is 2xx. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
