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
 * @param signed whether it bears an upstream's signature
 * @param notRun whether it states that the request did not run
 * @param misdirected whether another upstream has the address
 * @param encoded whether the body has an encoding that nobody asked for
 * @param confidence the model's opinion of its answer, 0 to 100
 * @param passedOn the fields that the caller gets
 */
public record AnswerHead(
        int status,
        Optional<String> requestId,
        boolean signed,
        boolean notRun,
        boolean misdirected,
        boolean encoded,
        Optional<Integer> confidence,
        Optional<ReportedLoad> load,
        HttpFields passedOn) {
    private static final int FIRST_FAILURE = 500;

    /** Whether it may be passed on as the answer to a request. */
    public boolean answers(String id) {
        return signed && !encoded && requestId.filter(id::equals).isPresent();
    }

    /** Whether the upstream failed. */
    public boolean failure() {
        return status >= FIRST_FAILURE;
    }

    /** Whether it is a success. */
    public boolean success() {
        return status >= 200 && status < 300;
    }
}
