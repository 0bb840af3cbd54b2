package org.wigeonferry.stand_ins;

import org.wigeonferry.node_runtime.NodeMetrics;
import org.wigeonferry.node_runtime.ingress.Ingress;
import org.wigeonferry.node_runtime.ingress.IngressKeys;

/**
 * The limits on what callers of a stand-in may hold: the default ones, which calls do not reach.
 *
 * <p>Stateless and thread safe.
 */
final class StandInIngress {
    private StandInIngress() {}

    static Ingress create() {
        return new Ingress(IngressKeys.defaultLimits(), new NodeMetrics());
    }
}
