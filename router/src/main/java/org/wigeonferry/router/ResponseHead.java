package org.wigeonferry.router;

import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.wigeonferry.routing.ReportedLoad;

/**
 * The head of an upstream's answer.
 *
 * <p>Immutable and thread safe.
 *
 * @param requestId the request that it says it answers
 * @param hasUpstreamStamp whether it bears an upstream's signature
 * @param requestNotRun whether it states that the request did not run
 * @param misdirected whether another upstream has the address
 * @param hasContentEncoding whether the body has an encoding that nobody asked for
 * @param confidence the model's opinion of its answer, 0 to 100
 * @param forwardedFields the fields that the caller gets
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
        HttpFields forwardedFields) {
    private static final int FIRST_FAILURE = 500;

    /** Whether it may be passed on as the answer to a request. */
    public boolean isValidResponseTo(String id) {
        return hasUpstreamStamp && !hasContentEncoding && requestId.filter(id::equals).isPresent();
    }

    /** Whether the upstream failed. */
    public boolean isServerError() {
        return status >= FIRST_FAILURE;
    }

    /** Whether it is a success. */
    public boolean isSuccess() {
        return status >= 200 && status < 300;
    }
}
