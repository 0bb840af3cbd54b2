package org.wigeonferry.settings;

import java.util.Optional;
import java.util.Set;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.ServiceId;
import org.wigeonferry.core_types.Upstream;
import org.wigeonferry.core_types.UpstreamBuilder;
import org.wigeonferry.core_types.UpstreamId;
import org.wigeonferry.core_types.VersionId;
import org.wigeonferry.core_types.ZoneId;

/**
 * Reads {@code [upstream NAME]}, which adds an upstream or, if it exists, sets the fields whose
 * keys are present.
 *
 * <p>Stateless and thread safe.
 */
final class UpstreamSectionReader {
    private UpstreamSectionReader() {}

    static SectionReader create() {
        return section -> {
            section.requireOnlyKeys(
                    "zone", "agent", "versions", "services", "max-concurrent", "leaving");
            UpstreamId id = section.parseName("an upstream name", UpstreamId::new);
            Optional<ZoneId> zone = section.optionalValue("zone", "a zone name", ZoneId::new);
            Optional<HostAddress> agentAddress =
                    section.optionalValue("agent", "host:port", HostAddress::parse);
            Optional<Set<VersionId>> versions =
                    section.optionalValue(
                            "versions",
                            "names",
                            text -> NoteValueParsers.parseNames(text, VersionId::new));
            Optional<Set<ServiceId>> services =
                    section.optionalValue(
                            "services",
                            "names",
                            text -> NoteValueParsers.parseNames(text, ServiceId::new));
            Optional<Integer> maxConcurrentAttempts =
                    section.optionalValue("max-concurrent", "a whole number", Integer::parseInt);
            Optional<Boolean> draining =
                    section.optionalValue(
                            "leaving", "true or false", NoteValueParsers::parseBoolean);
            return draft -> {
                Upstream existing = draft.upstreams().get(id);
                if (existing == null && (zone.isEmpty() || agentAddress.isEmpty())) {
                    throw section.newError("a new upstream needs the keys zone and agent");
                }
                UpstreamBuilder builder =
                        existing == null ? Upstream.builder().id(id) : existing.toBuilder();
                zone.ifPresent(builder::zone);
                agentAddress.ifPresent(builder::agentAddress);
                versions.ifPresent(builder::versions);
                services.ifPresent(builder::services);
                maxConcurrentAttempts.ifPresent(builder::maxConcurrentAttempts);
                draining.ifPresent(builder::draining);
                draft.upstreams().put(id, InvariantErrors.buildOrThrow(section, builder::build));
            };
        };
    }
}
