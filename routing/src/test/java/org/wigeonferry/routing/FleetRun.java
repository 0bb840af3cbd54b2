package org.wigeonferry.routing;

import java.util.List;

/**
 * A request of {@link PoisonFleet} with its current send.
 *
 * <p>Used by one thread.
 */
final class FleetRun {
    final String id;
    final List<PromptPart> parts;
    final boolean poison;
    final int router;
    int sends;
    int upstream;
    int startStep;
    int endStep;

    FleetRun(String id, List<PromptPart> parts, boolean poison, int router) {
        this.id = id;
        this.parts = parts;
        this.poison = poison;
        this.router = router;
    }
}
