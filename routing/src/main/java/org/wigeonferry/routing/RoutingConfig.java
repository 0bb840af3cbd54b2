package org.wigeonferry.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * One revision of the routing configuration.
 *
 * <p>Invariant: the routes of a host are sorted by descending prefix length. Immutable and thread
 * safe.
 */
public final class RoutingConfig {
    private final long revision;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, ServiceTraits> services;
    private final Map<String, Account> accountsByKey;
    private final boolean requiresKeys;
    private final int maxBodyBytes;

    RoutingConfig(RoutingConfigBuilder builder) {
        revision = builder.revision;
        routesByHost = new HashMap<>();
        builder.routes.stream()
                .collect(Collectors.groupingBy(Route::host))
                .forEach((host, routes) -> routesByHost.put(host, longestPrefixFirst(routes)));
        services = Map.copyOf(builder.services);
        accountsByKey = Map.copyOf(builder.accountsByKey);
        requiresKeys = builder.requiresKeys;
        maxBodyBytes = builder.maxBodyBytes;
    }

    /** Returns a builder of the configuration with this revision. */
    public static RoutingConfigBuilder builder(long revision) {
        return new RoutingConfigBuilder(revision);
    }

    /** Revision; rises with each change. */
    public long revision() {
        return revision;
    }

    /** The host's route with the longest prefix that {@code path} starts with. */
    public Optional<Route> route(String host, String path) {
        return routesByHost.getOrDefault(host, List.of()).stream()
                .filter(route -> path.startsWith(route.pathPrefix()))
                .findFirst();
    }

    /** The traits of the service of this name. */
    public Optional<ServiceTraits> serviceTraits(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /** The account that holds a key. */
    public Optional<Account> account(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }

    /** Whether requests need a key, except on keyless routes. */
    public boolean requiresKeys() {
        return requiresKeys;
    }

    /** Maximum length of a request body in bytes. */
    public int maxBodyBytes() {
        return maxBodyBytes;
    }

    private static List<Route> longestPrefixFirst(List<Route> routes) {
        return routes.stream()
                .sorted(Comparator.comparingInt((Route route) -> -route.pathPrefix().length()))
                .toList();
    }
}
