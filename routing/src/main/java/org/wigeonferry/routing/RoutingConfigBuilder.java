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
    boolean requiresKeys;
    int maxBodyBytes = DEFAULT_MAX_BODY_BYTES;

    RoutingConfigBuilder(long revision) {
        this.revision = revision;
    }

    /** Adds a route; of several with the same host and prefix, the first one added is used. */
    public RoutingConfigBuilder addRoute(Route route) {
        routes.add(route);
        return this;
    }

    /** Adds a service, in place of any of the same name. */
    public RoutingConfigBuilder addService(ServiceTraits service) {
        services.put(service.name(), service);
        return this;
    }

    /** Requires a key for all requests, except on keyless routes. */
    public RoutingConfigBuilder requireKeys() {
        requiresKeys = true;
        return this;
    }

    /** Adds a key by which callers act for an account; an account may have several. */
    public RoutingConfigBuilder addKey(String key, Account account) {
        accountsByKey.put(key, account);
        return this;
    }

    /** Sets the maximum length of a request body; 4 MiB by default. */
    public RoutingConfigBuilder maxBodyBytes(int bytes) {
        maxBodyBytes = bytes;
        return this;
    }

    /** Builds the configuration. */
    public RoutingConfig build() {
        return new RoutingConfig(this);
    }
}
