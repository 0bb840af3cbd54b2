package org.wigeonferry.settings;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.ApiKeyDigest;
import org.wigeonferry.core_types.ClientAccount;
import org.wigeonferry.core_types.ClientAccountBuilder;
import org.wigeonferry.core_types.ServiceId;
import org.wigeonferry.core_types.VersionId;

/**
 * Reads {@code [account NAME]}, which adds a client account or, if it exists, sets the fields whose
 * keys are present.
 *
 * <p>Stateless and thread safe.
 */
final class AccountSectionReader {
    private AccountSectionReader() {}

    static SectionReader create() {
        return section -> {
            section.requireOnlyKeys("key-digests", "versions", "services", "max-in-flight");
            AccountId id = section.parseName("an account name", AccountId::new);
            Optional<List<ApiKeyDigest>> digests =
                    section.optionalValue(
                            "key-digests",
                            "salt:digest pairs, separated by commas",
                            NoteValueParsers::parseKeyDigests);
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
            Optional<Integer> maxInFlight =
                    section.optionalValue("max-in-flight", "a whole number", Integer::parseInt);
            return draft -> {
                ClientAccount existing = draft.accounts().get(id);
                ClientAccountBuilder builder =
                        existing == null ? ClientAccount.builder().id(id) : existing.toBuilder();
                digests.ifPresent(builder::keyDigests);
                versions.ifPresent(builder::versions);
                services.ifPresent(builder::services);
                maxInFlight.ifPresent(builder::maxConcurrentRequests);
                ClientAccount account = InvariantErrors.buildOrThrow(section, builder::build);
                for (VersionId version : account.versions()) {
                    if (!draft.versions().containsKey(version)) {
                        throw section.newError("no such version " + version);
                    }
                }
                draft.accounts().put(id, account);
            };
        };
    }
}
