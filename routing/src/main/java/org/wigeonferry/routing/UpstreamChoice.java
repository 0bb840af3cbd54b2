package org.wigeonferry.routing;

import java.util.Optional;

/**
 * The upstream that was chosen for a job, if there is one.
 *
 * <p>Owned by the control thread.
 *
 * @param lacksRoom whether there is none only because the upstreams that may take the job are full,
 *     or other jobs wait for them
 */
record UpstreamChoice(Optional<SelectedUpstream> upstream, boolean lacksRoom) {
    static UpstreamChoice of(SelectedUpstream upstream) {
        return new UpstreamChoice(Optional.of(upstream), false);
    }

    static UpstreamChoice none(boolean lacksRoom) {
        return new UpstreamChoice(Optional.empty(), lacksRoom);
    }
}
