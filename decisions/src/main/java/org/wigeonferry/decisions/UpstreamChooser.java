package org.wigeonferry.decisions;

import java.util.List;
import java.util.Optional;
import org.wigeonferry.core_types.Upstream;

/**
 * Chooses one of the upstreams that can take an attempt.
 *
 * <p>Implementations are called on the control thread.
 */
@FunctionalInterface
public interface UpstreamChooser {
    /** Chooses an upstream; empty only if there are no candidates. */
    Optional<Upstream> choose(List<Upstream> candidates, FirstTokenEstimator estimator);
}
