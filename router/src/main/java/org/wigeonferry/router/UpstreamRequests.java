package org.wigeonferry.router;

import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.wigeonferry.router.connections.ConnectionUse;
import org.wigeonferry.routing.Job;
import org.wigeonferry.routing.Send;

/**
 * Builds the requests that go to upstreams from those of callers.
 *
 * <p>Stateless and thread safe.
 */
final class UpstreamRequests {
    private UpstreamRequests() {}

    /**
     * The request of one send.
     *
     * @param resumeAfter id of the last event of a stream that the caller has received
     */
    static UpstreamRequest of(
            WireProtocol protocol,
            Job job,
            CallerRequest caller,
            Send send,
            Optional<String> resumeAfter) {
        HttpFields fields =
                protocol.upstreamHeadersEncoder()
                        .encode(caller.fields(), send, send.timeLeft(), resumeAfter);
        return new UpstreamRequest(
                send.upstream().incarnation(),
                send.upstream().address(),
                ConnectionUse.of(job.route().kind(), job.mayRunAgain(), job.wasLostOnReuse()),
                caller.method(),
                caller.target(),
                fields,
                caller.body());
    }
}
