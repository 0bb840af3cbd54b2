package org.wigeonferry.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Builds a {@link RoutingConfig}.
 *
 * <p>Not thread safe.
 */
public final class RoutingConfigBuilder {
    private static final int DEFAULT_MAX_BODY_BYTES = 4 << 20;

    final long revision;
    final List<Route> routes = new ArrayList<>();
    final Map<String, ServiceTraits> services = new HashMap<>();
    final Map<String, Account> accountsByKey = new HashMap<>();
    boolean keysRequired;
    int maxBodyBytes = DEFAULT_MAX_BODY_BYTES;

    RoutingConfigBuilder(long revision) {
        this.revision = revision;
    }

    /** Adds a route. */
    public RoutingConfigBuilder addRoute(Route route) {
        routes.add(route);
        return this;
    }

    /** Adds a service. */
    public RoutingConfigBuilder addService(ServiceTraits service) {
        services.put(service.name(), service);
        return this;
    }

    /** Requires keys on routes that aren't open. */
    public RoutingConfigBuilder requireKeys() {
        keysRequired = true;
        return this;
    }

    /** Adds a key of an account. */
    public RoutingConfigBuilder addKey(String key, Account account) {
        accountsByKey.put(key, account);
        return this;
    }

    /** Bounds request bodies. */
    public RoutingConfigBuilder maxBodyBytes(int bytes) {
        maxBodyBytes = bytes;
        return this;
    }

    /** Builds the configuration. */
    public RoutingConfig build() {
        return new RoutingConfig(this);
    }
}
