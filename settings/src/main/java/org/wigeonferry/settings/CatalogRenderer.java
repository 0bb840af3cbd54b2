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
 * Renders a catalog as the text of a release note that, applied to the empty catalog, recreates it.
 *
 * <p>Equal catalogs give equal texts: sections and lists of names are sorted. Stateless and thread
 * safe.
 */
public final class CatalogRenderer {
    private CatalogRenderer() {}

    /** Renders the catalog; its revision only appears in the operation id. */
    public static String render(Catalog catalog) {
        StringBuilder text = new StringBuilder("[note]\n");
        text.append("operation = snapshot-").append(catalog.revision().number()).append('\n');
        text.append("author = system\nreason = snapshot\n");
        sorted(catalog.versions().values(), v -> v.id().value())
                .forEach(v -> appendVersion(text, v));
        sorted(catalog.versions().values(), v -> v.id().value()).stream()
                .filter(ModelVersion::withdrawn)
                .forEach(v -> appendWithdrawal(text, v));
        sorted(catalog.requestClasses().values(), c -> c.id().value())
                .forEach(c -> appendRequestClass(text, c));
        sorted(catalog.accounts().values(), a -> a.id().value())
                .forEach(a -> appendAccount(text, a));
        sorted(catalog.upstreams().values(), u -> u.id().value())
                .forEach(u -> appendUpstream(text, u));
        catalog.disabledZones().stream()
                .map(Object::toString)
                .sorted()
                .forEach(zone -> appendSection(text, "zone " + zone, "state = out"));
        return text.toString();
    }

    private static <T> List<T> sorted(Collection<T> values, Function<T, String> name) {
        return values.stream().sorted(Comparator.comparing(name)).toList();
    }

    private static void appendSection(StringBuilder text, String header, String... lines) {
        text.append('[').append(header).append("]\n");
        for (String line : lines) {
            text.append(line).append('\n');
        }
    }

    private static void appendVersion(StringBuilder text, ModelVersion version) {
        appendSection(
                text,
                "version " + version.id(),
                "model = " + version.model(),
                "cost-micros-per-token = " + version.costMicrosPerToken(),
                "expected-quality = " + version.expectedRating(),
                "exposure-percent = " + version.exposurePercent());
    }

    private static void appendWithdrawal(StringBuilder text, ModelVersion version) {
        text.append("[withdraw ").append(version.id()).append("]\n");
        version.successor().ifPresent(s -> text.append("successor = ").append(s).append('\n'));
    }

    private static void appendRequestClass(StringBuilder text, RequestClass requestClass) {
        appendSection(
                text,
                "class " + requestClass.id(),
                "quality-target = " + requestClass.qualityTarget(),
                "deadline-ms = " + requestClass.timeLimit().toMillis());
    }

    private static void appendAccount(StringBuilder text, ClientAccount account) {
        String digests =
                account.keyDigests().stream()
                        .map(key -> key.salt() + ":" + key.digest())
                        .collect(Collectors.joining(","));
        appendSection(
                text,
                "account " + account.id(),
                "key-digests = " + digests,
                "versions = " + joinSorted(account.versions()),
                "services = " + joinSorted(account.services()),
                "max-in-flight = " + account.maxConcurrentRequests());
    }

    private static void appendUpstream(StringBuilder text, Upstream upstream) {
        appendSection(
                text,
                "upstream " + upstream.id(),
                "zone = " + upstream.zone(),
                "agent = " + upstream.agentAddress(),
                "versions = " + joinSorted(upstream.versions()),
                "services = " + joinSorted(upstream.services()),
                "max-concurrent = " + upstream.maxConcurrentAttempts(),
                "leaving = " + upstream.draining());
    }

    private static String joinSorted(Collection<?> names) {
        return names.stream().map(Object::toString).sorted().collect(Collectors.joining(","));
    }
}
