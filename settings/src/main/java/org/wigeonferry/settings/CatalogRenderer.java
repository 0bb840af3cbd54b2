package org.wigeonferry.settings;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ClientAccount;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.RequestClass;
import org.wigeonferry.core_types.Upstream;

/**
 * Writes a catalog as a release note that recreates it.
 *
 * <p>Equal catalogs give equal texts. Stateless and thread safe.
 */
public final class CatalogRenderer {
    private CatalogRenderer() {}

    /** Writes the whole catalog. */
    public static String render(Catalog catalog) {
        StringBuilder text = new StringBuilder("[note]\n");
        text.append("operation = snapshot-").append(catalog.revision().number()).append('\n');
        text.append("author = system\nreason = snapshot\n");
        sorted(catalog.versions().values(), v -> v.id().value()).forEach(v -> version(text, v));
        sorted(catalog.versions().values(), v -> v.id().value()).stream()
                .filter(ModelVersion::withdrawn)
                .forEach(v -> withdrawal(text, v));
        sorted(catalog.requestClasses().values(), c -> c.id().value()).forEach(c -> type(text, c));
        sorted(catalog.accounts().values(), a -> a.id().value()).forEach(a -> account(text, a));
        sorted(catalog.upstreams().values(), u -> u.id().value()).forEach(u -> upstream(text, u));
        catalog.disabledZones().stream()
                .map(Object::toString)
                .sorted()
                .forEach(zone -> section(text, "zone " + zone, "state = out"));
        return text.toString();
    }

    private static <T> List<T> sorted(Collection<T> values, Function<T, String> name) {
        return values.stream().sorted(Comparator.comparing(name)).toList();
    }

    private static void section(StringBuilder text, String name, String... lines) {
        text.append('[').append(name).append("]\n");
        for (String line : lines) {
            text.append(line).append('\n');
        }
    }

    private static void version(StringBuilder text, ModelVersion version) {
        section(
                text,
                "version " + version.id(),
                "model = " + version.model(),
                "cost-micros-per-token = " + version.costMicrosPerToken(),
                "expected-quality = " + version.expectedQuality(),
                "exposure-percent = " + version.exposurePercent());
    }

    private static void withdrawal(StringBuilder text, ModelVersion version) {
        text.append("[withdraw ").append(version.id()).append("]\n");
        version.successor().ifPresent(s -> text.append("successor = ").append(s).append('\n'));
    }

    private static void type(StringBuilder text, RequestClass type) {
        section(
                text,
                "class " + type.id(),
                "quality-target = " + type.qualityTarget(),
                "deadline-ms = " + type.timeLimit().toMillis());
    }

    private static void account(StringBuilder text, ClientAccount account) {
        String digests =
                account.keyDigests().stream()
                        .map(key -> key.salt() + ":" + key.digest())
                        .collect(Collectors.joining(","));
        section(
                text,
                "account " + account.id(),
                "key-digests = " + digests,
                "versions = " + joined(account.versions()),
                "services = " + joined(account.services()),
                "max-in-flight = " + account.maxConcurrentRequests());
    }

    private static void upstream(StringBuilder text, Upstream upstream) {
        section(
                text,
                "upstream " + upstream.id(),
                "zone = " + upstream.zone(),
                "agent = " + upstream.agentAddress(),
                "versions = " + joined(upstream.versions()),
                "services = " + joined(upstream.services()),
                "max-concurrent = " + upstream.maxConcurrentAttempts(),
                "leaving = " + upstream.draining());
    }

    private static String joined(Collection<?> names) {
        return names.stream().map(Object::toString).sorted().collect(Collectors.joining(","));
    }
}
